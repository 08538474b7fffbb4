package dapplestair.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dapplestair.emulator.ControllerDirectory;
import dapplestair.emulator.EmulatedCloud;
import dapplestair.emulator.EmulatedState;
import dapplestair.emulator.EmulatedTask;
import dapplestair.emulator.EmulatedWorker;
import dapplestair.emulator.RequestHandler;
import dapplestair.emulator.TaskObserver;
import dapplestair.json.Json;
import dapplestair.netty.ControllerEventLoop;
import dapplestair.netty.HttpPool;
import dapplestair.netty.HttpServer;
import dapplestair.ports.Exchange;
import dapplestair.settings.Settings.Address;
import dapplestair.state.StateKeys;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/**
 * State service, cloud and workers behind one address, told apart by their paths. Paths under
 * {@code /emulator/} are for whoever runs it: controllers are made known there, and what truly runs
 * on the machines can be read.
 */
public final class Emulation implements AutoCloseable, ControllerDirectory {
  private static final String OWN = "/emulator/";
  private static final String CONTROLLERS = OWN + "controllers/";
  private static final int MOST_CONNECTIONS = 4000;
  private static final int CALLS_A_PLACE = 64;

  private final ControllerEventLoop loop = new ControllerEventLoop();
  private final Map<String, String> controllers = new LinkedHashMap<>();
  private final HttpServer server;
  private final EmulatedState state;
  private final EmulatedCloud cloud;

  /** Everything as the settings say; nothing is served before {@link #start}. */
  public Emulation(DaemonSettings settings) {
    HttpPool http =
        new HttpPool(loop, CALLS_A_PLACE, settings.emulatorSettings().reportIntervalMs() / 4);
    LoopbackEnvironment environment =
        new LoopbackEnvironment(
            loop,
            http,
            settings.seed() == 0
                ? RandomSource.XO_RO_SHI_RO_128_PP.create()
                : RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed()));
    state = new EmulatedState(environment, settings.emulatorSettings());
    cloud =
        new EmulatedCloud(
            environment, settings.emulatorSettings(), this::job, this, TaskObserver.none());
    server = new HttpServer(loop, HttpServer.Options.users(MOST_CONNECTIONS), this::handle);
  }

  /** Serves; returns the port. */
  public int start(Address address) throws InterruptedException {
    return server.start(address);
  }

  /** Makes a controller known to the workers. */
  public void register(String member, String endpoint) {
    loop.executor().execute(() -> controllers.put(member, endpoint));
  }

  @Override
  public List<String> members() {
    return List.copyOf(controllers.keySet());
  }

  @Override
  public String endpoint(String member) {
    return controllers.get(member);
  }

  /** What users uploaded is what they submitted: it is read where the controllers record it. */
  private JsonNode job(String ref) {
    JsonNode record = state.value(StateKeys.job(ref));
    if (record == null) {
      record = state.value(StateKeys.finishedJob(ref));
    }
    return record == null ? null : record.path("job");
  }

  private void handle(Exchange exchange) {
    if (exchange.path().startsWith(OWN)) {
      own(exchange);
    } else {
      boolean forCloud =
          exchange.path().equals("/machine_types") || exchange.path().startsWith("/rentals");
      RequestHandler place = forCloud ? cloud : state;
      EmulatorHttpAdapter.hand(exchange, place);
    }
  }

  private void own(Exchange exchange) {
    if (exchange.path().startsWith(CONTROLLERS) && exchange.method().equals("PUT")) {
      String endpoint = Json.text(Json.parse(exchange.body()), "endpoint");
      if (endpoint == null) {
        exchange.reply(400, Json.bytes(Json.object().put("error", "endpoint: missing")), 0);
        return;
      }
      controllers.put(exchange.path().substring(CONTROLLERS.length()), endpoint);
      exchange.reply(200, Json.bytes(Json.object()), 0);
    } else if (exchange.path().equals(OWN + "machines") && exchange.method().equals("GET")) {
      exchange.reply(200, Json.bytes(machines()), 0);
    } else {
      exchange.reply(404, Json.bytes(Json.object().put("error", "no such path")), 0);
    }
  }

  private ObjectNode machines() {
    ObjectNode object = Json.object().put("violation", cloud.violation());
    ArrayNode list = object.putArray("machines");
    for (EmulatedWorker emulatedWorker : cloud.machines()) {
      ArrayNode tasks =
          list.addObject()
              .put("id", emulatedWorker.id())
              .put("type", emulatedWorker.type())
              .put("zone", emulatedWorker.zone())
              .put("spot", emulatedWorker.isSpot())
              .put("up", emulatedWorker.hasBooted() && !emulatedWorker.isGone())
              .putArray("tasks");
      for (EmulatedTask emulatedTask : emulatedWorker.tasks()) {
        tasks
            .addObject()
            .put("task", emulatedTask.key())
            .put("try", emulatedTask.attempt())
            .put("status", emulatedTask.status());
      }
    }
    return object;
  }

  @Override
  public void close() {
    server.close();
    loop.close();
  }
}
