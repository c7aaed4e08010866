package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Fake plain service that stores bookings and returns stock levels. */
@Command(
    name = "service",
    description = "A fake booking and stock service.",
    mixinStandardHelpOptions = true)
final class ServiceCommand implements Callable<Integer> {
  @Option(names = "--port", required = true, description = "Port on 127.0.0.1.")
  private int port;

  @Option(
      names = "--work-millis",
      defaultValue = "5",
      description = "Processing time of a booking.")
  private volatile long workMillis;

  private final List<Booking> bookings = Collections.synchronizedList(new ArrayList<>());
  private final List<String> received = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger cutsBeforeBookingLeft = new AtomicInteger();
  private final AtomicInteger cutsAfterBookingLeft = new AtomicInteger();

  private record Booking(String idempotencyKey, String body) {}

  @Override
  public Integer call() throws Exception {
    new FakeServer(port, this::handle).start();
    FakeServer.waitForever();
    return 0;
  }

  private void handle(HttpExchange exchange) throws IOException, InterruptedException {
    switch (exchange.getRequestURI().getPath()) {
      case "/health" -> FakeServer.reply(exchange, 200, Map.of());
      case "/journal" -> FakeServer.reply(exchange, 200, List.copyOf(bookings));
      case "/received" -> FakeServer.reply(exchange, 200, List.copyOf(received));
      case "/faults" -> setFaults(exchange);
      case "/stock" -> {
        recordReceived(exchange, "");
        exchange.getResponseHeaders().set("X-Stock-Depot", "south");
        FakeServer.reply(exchange, 200, Map.of("drums", 42));
      }
      case "/bookings" -> book(exchange);
      default -> FakeServer.reply(exchange, 404, Map.of("detail", "no such path"));
    }
  }

  private void setFaults(HttpExchange exchange) throws IOException {
    JsonNode json = FakeServer.readJson(exchange);
    cutsBeforeBookingLeft.set(json.path("cutBefore").asInt(cutsBeforeBookingLeft.get()));
    cutsAfterBookingLeft.set(json.path("cutAfter").asInt(cutsAfterBookingLeft.get()));
    workMillis = json.path("workMillis").asLong(workMillis);
    FakeServer.reply(exchange, 200, Map.of());
  }

  private void book(HttpExchange exchange) throws IOException, InterruptedException {
    String body = FakeServer.readBody(exchange);
    recordReceived(exchange, body);
    if (decrementIfPositive(cutsBeforeBookingLeft)) {
      exchange.close();
      return;
    }
    Thread.sleep(workMillis);
    String key = String.valueOf(exchange.getRequestHeaders().getFirst("Idempotency-Key"));
    int number;
    synchronized (bookings) {
      bookings.add(new Booking(key, body));
      number = bookings.size();
    }
    if (decrementIfPositive(cutsAfterBookingLeft)) {
      exchange.close();
      return;
    }
    FakeServer.reply(exchange, 201, Map.of("booking", number));
  }

  private void recordReceived(HttpExchange exchange, String body) {
    received.add(
        exchange.getRequestURI() + "\n" + exchange.getRequestHeaders().entrySet() + "\n" + body);
  }

  private static boolean decrementIfPositive(AtomicInteger count) {
    return count.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
  }
}
