package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One HTTP/1.1 request on a connection that is open already. */
final class HttpSocket {
  private HttpSocket() {}

  /** Returns the answer; one with status 0 if there is none in time or the connection fails. */
  static Lab.Answer call(Socket socket, String method, String path, JsonNode body, int timeoutS) {
    try {
      socket.setSoTimeout(timeoutS * 1000);
      socket.setTcpNoDelay(true);
      byte[] content = body == null ? new byte[0] : Lab.JSON.writeValueAsBytes(body);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: balancer\r\nContent-Type: application/json\r\n"
              + "Content-Length: " + content.length + "\r\n\r\n";
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(head.getBytes(StandardCharsets.US_ASCII));
      request.write(content);
      socket.getOutputStream().write(request.toByteArray());
      InputStream in = socket.getInputStream();
      int status = Integer.parseInt(readLine(in).split(" ")[1]);
      int length = 0;
      for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
        if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(15).trim());
        }
      }
      return new Lab.Answer(status, Lab.JSON.readTree(in.readNBytes(length)));
    } catch (IOException | RuntimeException e) {
      return new Lab.Answer(0, Lab.JSON.createObjectNode());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the connection has ended");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }
}
