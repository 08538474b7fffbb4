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
 * Emulates the state service, the cloud and the workers. State service and cloud share one address
 * and are distinguished by their paths. Paths under {@code /emulator/} are for whoever runs the
 * emulator: controllers are registered there, and the tasks that actually run on the machines can
 * be read.
 */
public final class Emulation implements AutoCloseable, ControllerDirectory {
  private static final String EMULATOR_PATH = "/emulator/";
  private static final String CONTROLLERS_PATH = EMULATOR_PATH + "controllers/";
  private static final int MAX_CONNECTIONS = 4000;
  private static final int MAX_CALLS_PER_ENDPOINT = 64;

  private final ControllerEventLoop loop = new ControllerEventLoop();
  private final Map<String, String> endpointsByMember = new LinkedHashMap<>();
  private final HttpServer server;
  private final EmulatedState state;
  private final EmulatedCloud cloud;

  /** Creates the emulated services from the settings; {@link #start} begins to serve them. */
  public Emulation(DaemonSettings settings) {
    HttpPool http =
        new HttpPool(
            loop, MAX_CALLS_PER_ENDPOINT, settings.emulatorSettings().reportIntervalMs() / 4);
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
            environment, settings.emulatorSettings(), this::findJob, this, TaskObserver.none());
    server = new HttpServer(loop, HttpServer.Options.users(MAX_CONNECTIONS), this::handle);
  }

  /** Starts serving and returns the port. */
  public int start(Address address) throws InterruptedException {
    return server.start(address);
  }

  /** Registers a controller, so that the workers report to it. */
  public void register(String member, String endpoint) {
    loop.executor().execute(() -> endpointsByMember.put(member, endpoint));
  }

  @Override
  public List<String> members() {
    return List.copyOf(endpointsByMember.keySet());
  }

  @Override
  public String endpoint(String member) {
    return endpointsByMember.get(member);
  }

  /**
   * Returns a job as its user submitted it, or null if it is unknown. The job is read from the
   * state service, where the controllers record it.
   */
  private JsonNode findJob(String ref) {
    JsonNode record = state.value(StateKeys.job(ref));
    if (record == null) {
      record = state.value(StateKeys.finishedJob(ref));
    }
    return record == null ? null : record.path("job");
  }

  private void handle(Exchange exchange) {
    if (exchange.path().startsWith(EMULATOR_PATH)) {
      handleEmulatorRequest(exchange);
    } else {
      boolean isCloudRequest =
          exchange.path().equals("/machine_types") || exchange.path().startsWith("/rentals");
      RequestHandler handler = isCloudRequest ? cloud : state;
      EmulatorHttpAdapter.forward(exchange, handler);
    }
  }

  private void handleEmulatorRequest(Exchange exchange) {
    if (exchange.path().startsWith(CONTROLLERS_PATH) && exchange.method().equals("PUT")) {
      String endpoint = Json.text(Json.parse(exchange.body()), "endpoint");
      if (endpoint == null) {
        exchange.reply(400, Json.bytes(Json.object().put("error", "endpoint: missing")), 0);
        return;
      }
      endpointsByMember.put(exchange.path().substring(CONTROLLERS_PATH.length()), endpoint);
      exchange.reply(200, Json.bytes(Json.object()), 0);
    } else if (exchange.path().equals(EMULATOR_PATH + "machines")
        && exchange.method().equals("GET")) {
      exchange.reply(200, Json.bytes(describeMachines()), 0);
    } else {
      exchange.reply(404, Json.bytes(Json.object().put("error", "no such path")), 0);
    }
  }

  private ObjectNode describeMachines() {
    ObjectNode response = Json.object().put("violation", cloud.violation());
    ArrayNode machines = response.putArray("machines");
    for (EmulatedWorker emulatedWorker : cloud.machines()) {
      ArrayNode tasks =
          machines
              .addObject()
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
    return response;
  }

  @Override
  public void close() {
    server.close();
    loop.close();
  }
}
