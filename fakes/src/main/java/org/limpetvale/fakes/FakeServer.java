package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Minimal HTTP server with JSON responses, shared by the fakes. */
final class FakeServer {
  static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int BACKLOG = 1024;

  private final int port;
  private final Handler handler;
  private HttpServer server;

  FakeServer(int port, Handler handler) {
    this.port = port;
    this.handler = handler;
  }

  /** Handles HTTP requests. */
  interface Handler {
    void handle(HttpExchange exchange) throws IOException, InterruptedException;
  }

  synchronized void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), BACKLOG);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handleSafely);
    server.start();
  }

  /** Closes all connections and stops listening. */
  synchronized void stop() {
    server.stop(0);
  }

  private void handleSafely(HttpExchange exchange) {
    try {
      handler.handle(exchange);
    } catch (IOException e) {
      exchange.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      exchange.close();
    } catch (RuntimeException e) {
      System.err.println("request handler failed: " + e);
      exchange.close();
    }
  }

  static String readBody(HttpExchange exchange) throws IOException {
    return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
  }

  static JsonNode readJson(HttpExchange exchange) throws IOException {
    return MAPPER.readTree(readBody(exchange));
  }

  static void reply(HttpExchange exchange, int status, Object value) throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(value);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  static Map<String, String> queryParameters(HttpExchange exchange) {
    Map<String, String> parameters = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw == null) {
      return parameters;
    }
    for (String pair : raw.split("&", -1)) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        parameters.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }

  static void waitForever() throws InterruptedException {
    Thread.sleep(Long.MAX_VALUE);
  }
}
