package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The load balancer of PROTOCOL. For every new connection it chooses a healthy node, the one with
 * the fewest open user connections, and the next one if it refuses the connection or has not
 * accepted it within 0.5 s; three at most. It probes {@code GET /up} of every node once a second. A
 * node is unhealthy after two failures in a row or three among the last six, and healthy again
 * after two successes in a row, though not until 3 s have passed. A node that was never healthy is
 * healthy after one success. The open connections of a node that has been unhealthy for 5 s are
 * reset.
 */
final class LoadBalancer implements AutoCloseable {
  private static final class Node {
    boolean everHealthy;
    boolean healthy;
    int failuresInRow;
    int successesInRow;
    double unhealthySinceS;
    int probes;
    final Deque<Boolean> lastProbes = new ArrayDeque<>();
    final Set<Socket> open = new HashSet<>();
  }

  private final Lab lab;
  private final Node[] nodes = new Node[Lab.CONTROLLERS];
  private final List<Thread> probers = new ArrayList<>();

  LoadBalancer(Lab lab) {
    this.lab = lab;
    for (int i = 0; i < nodes.length; i++) {
      nodes[i] = new Node();
      int node = i;
      Thread prober = new Thread(() -> probe(node), "probe-" + i);
      prober.setDaemon(true);
      prober.start();
      probers.add(prober);
    }
  }

  /** An answer and the node that gave it, -1 if no node accepted the connection. */
  record Routed(int node, Lab.Answer answer) {}

  boolean allHealthy() {
    synchronized (nodes) {
      for (Node node : nodes) {
        if (!node.healthy) {
          return false;
        }
      }
      return true;
    }
  }

  /** Sends a request on a connection of its own. */
  Routed call(String method, String path, JsonNode body, int timeoutS) {
    Set<Integer> tried = new HashSet<>();
    while (tried.size() < Lab.CONTROLLERS) {
      Socket socket = new Socket();
      int node = choose(tried, socket);
      if (node < 0) {
        break;
      }
      try (socket) {
        socket.connect(
            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), lab.userPorts[node]), 500);
        return new Routed(node, HttpSocket.call(socket, method, path, body, timeoutS));
      } catch (IOException e) {
        tried.add(node);
      } finally {
        synchronized (nodes) {
          nodes[node].open.remove(socket);
        }
      }
    }
    return new Routed(-1, new Lab.Answer(0, Lab.JSON.createObjectNode()));
  }

  private int choose(Set<Integer> tried, Socket socket) {
    synchronized (nodes) {
      List<Integer> candidates = new ArrayList<>();
      for (int i = 0; i < nodes.length; i++) {
        if (nodes[i].healthy && !tried.contains(i)) {
          candidates.add(i);
        }
      }
      int node =
          candidates.stream().min(Comparator.comparingInt(i -> nodes[i].open.size())).orElse(-1);
      if (node >= 0) {
        nodes[node].open.add(socket);
      }
      return node;
    }
  }

  /** Waits until the next probe of a node has ended. */
  void awaitProbe(int i) throws InterruptedException {
    synchronized (nodes) {
      int before = nodes[i].probes;
      while (nodes[i].probes == before) {
        nodes.wait(2000);
      }
    }
  }

  private void probe(int i) {
    while (!Thread.currentThread().isInterrupted()) {
      double start = lab.seconds();
      boolean success = lab.get(lab.userPorts[i], "/up", 1).status() == 200;
      List<Socket> reset = List.of();
      synchronized (nodes) {
        Node node = nodes[i];
        record(i, node, success);
        node.probes++;
        nodes.notifyAll();
        if (!node.healthy && node.everHealthy && lab.seconds() - node.unhealthySinceS > 5) {
          reset = List.copyOf(node.open);
        }
      }
      for (Socket socket : reset) {
        try {
          socket.close();
        } catch (IOException e) {
          // It is closed already.
        }
      }
      try {
        Thread.sleep(Math.max(1, Math.round(1000 * (1 - (lab.seconds() - start)))));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void record(int i, Node node, boolean success) {
    node.failuresInRow = success ? 0 : node.failuresInRow + 1;
    node.successesInRow = success ? node.successesInRow + 1 : 0;
    node.lastProbes.addLast(success);
    if (node.lastProbes.size() > 6) {
      node.lastProbes.removeFirst();
    }
    boolean before = node.healthy;
    if (node.healthy) {
      long failures = node.lastProbes.stream().filter(probe -> !probe).count();
      node.healthy = node.failuresInRow < 2 && failures < 3;
      if (!node.healthy) {
        node.unhealthySinceS = lab.seconds();
        node.lastProbes.clear();
      }
    } else if (node.everHealthy) {
      node.healthy = node.successesInRow >= 2 && lab.seconds() - node.unhealthySinceS >= 3;
    } else {
      node.healthy = success;
    }
    node.everHealthy |= node.healthy;
    if (!success && node.everHealthy || before != node.healthy) {
      lab.note(
          "balancer: GET /up of stairhost-%d %s; it counts as %s",
          i, success ? "succeeds" : "fails", node.healthy ? "healthy" : "unhealthy");
    }
  }

  @Override
  public void close() {
    probers.forEach(Thread::interrupt);
  }
}
