import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Calm traffic for the daemon whose class-data archive is being recorded, so that the archive holds
 * the classes of the request path as well as those of the start.
 *
 * <p>One server stands for the platform's store, its interface for duties and an upstream. The
 * build runs this file with the JDK's source launcher: {@code java TrainingTraffic.java PORT
 * CALLERS_PORT READY_PORT METRICS_PORT}.
 */
final class TrainingTraffic {
  private static final int ROUNDS = 60;
  private static final int EVENTS = 6;
  private static final long READY_MILLIS = 20_000;
  private static final String KEY = "key";
  private static final AtomicLong VERSION = new AtomicLong(10);

  private static final String ROUTE =
      """
      {"name":"%s","host":"h.example","prefix":"/%s/","route_type":"%s","timeout_ms":4000,
       "target_latency_ms":500,"target_gap_ms":150,"priority":1,"service":"%s","max_attempts":2,
       "public":false,"resumable":%b}""";

  private TrainingTraffic() {}

  public static void main(String[] arguments) throws IOException, InterruptedException {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    int port = Integer.parseInt(arguments[0]);
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> serve(exchange, port));
    server.start();
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    String daemon = "http://127.0.0.1:";
    awaitReady(client, daemon + arguments[2] + "/limpetvale/readyz");
    for (int round = 0; round < ROUNDS; round++) {
      send(client, daemon + arguments[1] + "/book/a", KEY, round, true);
      send(client, daemon + arguments[1] + "/look/a", KEY, round, false);
      send(client, daemon + arguments[1] + "/talk/a", KEY, round, true);
      send(client, daemon + arguments[1] + "/read/a", KEY, round, true);
      send(client, daemon + arguments[1] + "/full/a", KEY, round, true);
      send(client, daemon + arguments[1] + "/book/a", "unknown", round, true);
      send(client, daemon + arguments[1] + "/nowhere/a", KEY, round, false);
    }
    send(client, daemon + arguments[3] + "/metrics", KEY, 0, false);
    server.stop(0);
    System.exit(0);
  }

  // -- the caller

  private static void awaitReady(HttpClient client, String uri) throws InterruptedException {
    long endMillis = System.currentTimeMillis() + READY_MILLIS;
    while (System.currentTimeMillis() < endMillis && send(client, uri, KEY, 0, false) != 200) {
      Thread.sleep(100);
    }
  }

  private static int send(HttpClient client, String uri, String key, int round, boolean post)
      throws InterruptedException {
    String body = "{\"number\":" + round + "}";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(uri))
            .method(
                post ? "POST" : "GET",
                post
                    ? HttpRequest.BodyPublishers.ofString(body)
                    : HttpRequest.BodyPublishers.noBody())
            .header("Host", "h.example")
            .header("Authorization", "Bearer " + key)
            .header("X-Limpetvale-Request-Id", "t-" + round + "-" + VERSION.get())
            .header("X-Limpetvale-Deadline-Ms", "4000")
            .header("X-Limpetvale-Token-Count", "900,20")
            .header("X-Limpetvale-Prefix-Hash", "a" + round % 5 + ":400,b" + round + ":500")
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  // -- the platform and the upstream

  private static void serve(HttpExchange exchange, int port) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath();
      switch (path) {
        case "/limpetvale/rows-get" -> answer(exchange, 200, rows(table(exchange), port));
        case "/limpetvale/rows-feed" -> {
          pause(300);
          answer(exchange, 200, page(""));
        }
        case "/limpetvale/rows-tx" -> {
          VERSION.incrementAndGet();
          answer(exchange, 200, page(""));
        }
        case "/usage", "/scale" -> answer(exchange, 200, "{}");
        default -> serveRequest(exchange, path);
      }
    }
  }

  private static String table(HttpExchange exchange) {
    String query = exchange.getRequestURI().getQuery();
    for (String pair : query.split("&")) {
      if (pair.startsWith("table=")) {
        return pair.substring("table=".length());
      }
    }
    return "";
  }

  private static String rows(String table, int port) {
    return switch (table) {
      case "op" -> page(row("op", "config", config()));
      case "servers" ->
          page(
              row("servers", "i-1", upstream("desk", port))
                  + ","
                  + row("servers", "i-2", upstream("engine", port)));
      default -> page("");
    };
  }

  private static String config() {
    return """
        {"version":5,"routes":[%s,%s,%s,%s,%s],
         "services":[{"name":"desk","max_connections":96},
                     {"name":"engine","max_connections":96,
                      "backend":{"slots":64,"kv_capacity_tokens":100000}}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,
                   "idle_timeout_ms":15000},
         "tenants":[{"name":"first","api_keys":["%s"],"priority":1}]}"""
        .formatted(
            ROUTE.formatted("book", "book", "non_idempotent", "desk", false),
            ROUTE.formatted("look", "look", "idempotent", "desk", false),
            ROUTE.formatted("full", "full", "idempotent", "desk", false),
            ROUTE.formatted("talk", "talk", "streaming", "engine", false),
            ROUTE.formatted("read", "read", "streaming", "engine", true),
            KEY);
  }

  private static String upstream(String service, int port) {
    return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"training","version":"v1","slots":64,
         "state":"ready","cold_remaining_ms":0,"seq":1,"born":1}"""
        .formatted(service, port);
  }

  private static String row(String table, String key, String text) {
    String data = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    return """
        {"table":"%s","part":"","key":"%s","data":"%s","row_version":%d}"""
        .formatted(table, key, data, VERSION.get());
  }

  private static String page(String rows) {
    return """
        {"rows":[%s],"row_version":%d,"now_ms":%d,"has_more":false}"""
        .formatted(rows, VERSION.get(), System.nanoTime() / 1_000_000);
  }

  private static void serveRequest(HttpExchange exchange, String path) throws IOException {
    Map.of(
            "X-Limpetvale-Request-Id",
            String.valueOf(exchange.getRequestHeaders().getFirst("X-Limpetvale-Request-Id")),
            "X-Limpetvale-Response-Signature",
            "s.1",
            "X-Limpetvale-Instance-Load",
            "1,0,64")
        .forEach(exchange.getResponseHeaders()::set);
    if (path.startsWith("/full/")) {
      exchange.getResponseHeaders().set("X-Limpetvale-Not-Executed", "1");
      exchange.getResponseHeaders().remove("X-Limpetvale-Response-Signature");
      answer(exchange, 503, "");
    } else if (path.startsWith("/talk/") || path.startsWith("/read/")) {
      stream(exchange);
    } else {
      answer(exchange, 200, "answer");
    }
  }

  private static void stream(HttpExchange exchange) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    for (int number = 1; number <= EVENTS; number++) {
      String event = "id: " + number + "\ndata: token\n\n";
      out.write(event.getBytes(StandardCharsets.UTF_8));
      out.flush();
      pause(5);
    }
  }

  private static void answer(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
