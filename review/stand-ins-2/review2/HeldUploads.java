package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Users repeat submissions of 60 KiB. The network between them and the controllers is interrupted
 * before the end of their requests has arrived; what is missing arrives when the interruption is
 * over. Nobody else is cut off, but meanwhile no controller answers anybody.
 */
public final class HeldUploads {
  static final int USERS_PER_NODE = 280;
  static final int BODY_BYTES = 61_000;
  static final int HELD_BYTES = 500;
  static final long HELD_MS = 20_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    World w = new World(Path.of(args[0]), Path.of(args[1]), 3);
    int code = 2;
    try {
      if (!w.start()) {
        return;
      }
      int replicas = 0;
      for (int i = 0; i < 6; i++) {
        ObjectNode service = World.service("wk-00000" + i, "kindynos", 2);
        if (!w.submitUntilAccepted(i % 3, service)) {
          return;
        }
        replicas += 2;
      }
      long until = w.now() + 30_000;
      while (running(w) < replicas && w.now() < until) {
        World.sleep(200);
      }
      if (running(w) < replicas) {
        return;
      }
      w.log("all " + replicas + " replicas run");

      // Each user repeats the submission of an accepted job, with a field that nobody knows.
      List<Socket> sockets = new ArrayList<>();
      List<byte[]> rests = new ArrayList<>();
      long from = w.now();
      int refused = 0;
      for (int i = 0; i < 3 * USERS_PER_NODE; i++) {
        ObjectNode job = w.jobs.get("wk-00000" + i % 6).deepCopy();
        job.put("remarks", "x".repeat(BODY_BYTES - job.toString().length() - 13));
        byte[] body = job.toString().getBytes(StandardCharsets.UTF_8);
        byte[] head =
            ("POST /submissions HTTP/1.1\r\nHost: stairhost\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
        Socket s = new Socket();
        try {
          s.connect(new java.net.InetSocketAddress("127.0.0.1", w.members[i % 3].userPort), 500);
          s.setSoTimeout(5000);
          s.getOutputStream().write(head);
          s.getOutputStream().write(body, 0, body.length - HELD_BYTES);
          s.getOutputStream().flush();
          sockets.add(s);
          byte[] rest = new byte[HELD_BYTES];
          System.arraycopy(body, body.length - HELD_BYTES, rest, 0, HELD_BYTES);
          rests.add(rest);
          if (!trouble) {
            s.getOutputStream().write(rest);
            s.getOutputStream().flush();
          }
        } catch (IOException e) {
          refused++;
          s.close();
        }
      }
      w.log(sockets.size() + " requests on their way after " + (w.now() - from) + " ms, " + refused + " connections refused");

      AtomicInteger answered = new AtomicInteger();
      long heldUntil = w.now() + (trouble ? HELD_MS : 0);
      int leasesBefore = w.leasesLost.get();
      long[] unansweredSince = {w.now(), w.now(), w.now()};
      long longestMs = 0;
      boolean released = false;
      long end = trouble ? 104_000 : heldUntil + 20_000;
      while (w.now() < end) {
        if (!released && w.now() >= heldUntil) {
          released = true;
          w.log("the network works again");
          for (int i = 0; i < sockets.size(); i++) {
            Socket s = sockets.get(i);
            byte[] rest = rests.get(i);
            w.pool.execute(
                () -> {
                  try {
                    if (trouble) {
                      s.getOutputStream().write(rest);
                      s.getOutputStream().flush();
                    }
                    InputStream in = s.getInputStream();
                    byte[] line = in.readNBytes(12);
                    if (new String(line, StandardCharsets.UTF_8).equals("HTTP/1.1 200")) {
                      answered.incrementAndGet();
                    }
                  } catch (IOException e) {
                    // no answer within 5 s
                  }
                  try {
                    s.close();
                  } catch (IOException e) {
                    // closed
                  }
                });
          }
        }
        // A user who isn't cut off, and the load balancer's probes.
        for (int m = 0; m < 3; m++) {
          World.Reply up = w.get(m, "/up", java.time.Duration.ofSeconds(1));
          World.Reply poll = w.poll(m, "wk-00000" + m);
          if (up.status() > 0 || poll.status() > 0) {
            unansweredSince[m] = w.now();
          }
        }
        long least = Long.MAX_VALUE;
        for (long since : unansweredSince) {
          least = Math.min(least, w.now() - since);
        }
        if (least > longestMs) {
          longestMs = least;
          if (least > 5000) {
            w.log("no controller has answered anything for " + least + " ms; replicas that run: " + running(w));
          }
        }
        World.sleep(500);
      }
      int lost = w.leasesLost.get() - leasesBefore;
      w.log("uploads answered: " + answered.get() + " of " + sockets.size() + "; longest time without any answer: "
          + longestMs + " ms; leases that ended with tasks: " + lost + "; replicas that run: " + running(w));
      // Nobody but the users of the uploads was cut off: other users and the workers are answered.
      if (longestMs > 30_000) {
        w.violation("a process hangs", "no controller answered any probe or poll for " + longestMs + " ms");
      }
      if (lost > 0) {
        w.violation("accepted work is lost", lost + " machines lost their leases although they could report");
      }
      code = w.violations.isEmpty() ? 0 : 1;
    } finally {
      w.log("exit " + code);
      w.close();
      Runtime.getRuntime().halt(code);
    }
  }

  static int running(World w) {
    int n = 0;
    for (int i = 0; i < 6; i++) {
      n += w.running("wk-00000" + i);
    }
    return n;
  }
}
