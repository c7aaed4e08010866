package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Stand-in of a model engine.
 *
 * <p>The answer follows from the prompt: its length from {@code [len=N]} or a hash, its tokens from
 * a hash, so that a continued answer goes on with the same text. A prompt with {@code [crash]}
 * crashes the engine after a few tokens; it restarts after a while.
 */
@Command(
    name = "engine",
    description = "A model engine with an OpenAI-style streaming interface.",
    mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {
  private static final int TOKENS_BEFORE_CRASH = 3;
  private static final int DEFAULT_TOKENS = 24;
  private static final int CACHED_PREFIXES = 64;
  private static final double FULL_BATCH_SLOWDOWN = 0.5;
  private static final int BYTES_PER_TOKEN = 4;
  private static final double MILLIS_PER_SECOND = 1000;

  @Option(names = "--port", required = true, description = "Port on 127.0.0.1.")
  private int port;

  @Option(names = "--tokens-per-second", defaultValue = "50", description = "Of one stream.")
  private double tokensPerSecond;

  @Option(names = "--prefill-tokens-per-second", defaultValue = "20000", description = "Prefill.")
  private double prefillTokensPerSecond;

  @Option(names = "--capacity", defaultValue = "16", description = "Streams at the same time.")
  private int capacity;

  @Option(names = "--restart-millis", defaultValue = "500", description = "After a crash.")
  private long restartMillis;

  @Option(names = "--record", description = "Keep all that was received.")
  private boolean record;

  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicLong producedTokens = new AtomicLong();
  private final AtomicInteger silences = new AtomicInteger();
  private final List<Entry> journal = Collections.synchronizedList(new ArrayList<>());
  private final Map<Integer, Boolean> prefixes =
      Collections.synchronizedMap(
          new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
              return size() > CACHED_PREFIXES;
            }
          });
  private final PriorityBlockingQueue<Ticket> queue = new PriorityBlockingQueue<>();
  private final AtomicLong tickets = new AtomicLong();
  private volatile double slowFactor = 1;
  private volatile int life;
  private FakeServer server;

  /** What was received and what came of it. */
  private record Entry(String requestId, String received, String end, int tokens) {}

  private record Ticket(int priority, long number) implements Comparable<Ticket> {
    @Override
    public int compareTo(Ticket other) {
      return priority != other.priority
          ? Integer.compare(priority, other.priority)
          : Long.compare(number, other.number);
    }
  }

  @Override
  public Integer call() throws Exception {
    server = new FakeServer(port, this::handle);
    server.start();
    FakeServer.waitForever();
    return 0;
  }

  private void handle(HttpExchange exchange) throws IOException, InterruptedException {
    switch (exchange.getRequestURI().getPath()) {
      case "/health" -> FakeServer.reply(exchange, 200, Map.of("life", life));
      case "/load" -> FakeServer.reply(exchange, 200, Map.of("running", running.get()));
      case "/journal" -> FakeServer.reply(exchange, 200, List.copyOf(journal));
      case "/counts" ->
          FakeServer.reply(
              exchange, 200, Map.of("crashes", crashes.get(), "tokens", producedTokens.get()));
      case "/faults" -> setFaults(exchange);
      case "/v1/models/load" -> FakeServer.reply(exchange, 200, Map.of());
      case "/v1/chat/completions" -> complete(exchange);
      default -> FakeServer.reply(exchange, 404, Map.of());
    }
  }

  private void setFaults(HttpExchange exchange) throws IOException {
    JsonNode json = FakeServer.json(exchange);
    slowFactor = json.path("slowFactor").asDouble(slowFactor);
    silences.set(json.path("silences").asInt(silences.get()));
    FakeServer.reply(exchange, 200, Map.of());
    if (json.path("crash").asBoolean()) {
      crash();
    }
  }

  // -- answers

  private void complete(HttpExchange exchange) throws IOException, InterruptedException {
    String body = FakeServer.body(exchange);
    JsonNode request = FakeServer.MAPPER.readTree(body);
    Script script = Script.of(request);
    String requestId = String.valueOf(exchange.getRequestHeaders().getFirst("X-Request-Id"));
    String received =
        record
            ? exchange.getRequestURI()
                + "\n"
                + exchange.getRequestHeaders().entrySet()
                + "\n"
                + body
            : "";
    int bornIn = life;
    Ticket ticket = new Ticket(request.path("priority").asInt(0), tickets.incrementAndGet());
    awaitTurn(ticket);
    int sent = 0;
    String end = "cut";
    try {
      boolean cached = prefixes.put(script.prefixHash(), true) != null;
      sleepMillis(
          script.promptTokens() / prefillTokensPerSecond * MILLIS_PER_SECOND * (cached ? 0.1 : 1));
      boolean stream = request.path("stream").asBoolean();
      if (stream) {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
      }
      OutputStream out = stream ? exchange.getResponseBody() : OutputStream.nullOutputStream();
      boolean silent = silences.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
      for (int i = script.from(); i < script.length(); i++) {
        if (life != bornIn) {
          exchange.close();
          return;
        }
        if (script.crashes() && sent >= TOKENS_BEFORE_CRASH) {
          end = "crash";
          crash();
          return;
        }
        if (silent && sent >= TOKENS_BEFORE_CRASH) {
          end = "silent";
          running.decrementAndGet();
          FakeServer.waitForever();
        }
        sleepMillis(gapMillis());
        producedTokens.incrementAndGet();
        send(out, chunk(script.token(i), null));
        sent++;
      }
      finish(exchange, out, script, sent, stream, cached);
      end = "whole";
    } finally {
      if (!end.equals("silent")) {
        running.decrementAndGet();
      }
      journal.add(new Entry(requestId, received, end, sent));
    }
  }

  private static void finish(
      HttpExchange exchange,
      OutputStream out,
      Script script,
      int sent,
      boolean stream,
      boolean cached)
      throws IOException {
    ObjectNode usage = FakeServer.MAPPER.createObjectNode();
    usage.put("prompt_tokens", script.promptTokens());
    usage.put("completion_tokens", sent);
    usage
        .putObject("prompt_tokens_details")
        .put("cached_tokens", cached ? script.promptTokens() / 2 : 0);
    if (!stream) {
      ObjectNode whole = FakeServer.MAPPER.createObjectNode();
      whole.putArray("choices").addObject().putObject("message").put("content", script.text());
      whole.set("usage", usage);
      FakeServer.reply(exchange, 200, whole);
      return;
    }
    ObjectNode last = chunk("", "stop");
    last.set("usage", usage);
    send(out, last);
    out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    out.flush();
    exchange.close();
  }

  private void awaitTurn(Ticket ticket) throws InterruptedException {
    queue.add(ticket);
    while (true) {
      if (ticket.equals(queue.peek()) && running.get() < capacity) {
        queue.remove(ticket);
        running.incrementAndGet();
        return;
      }
      Thread.sleep(2);
    }
  }

  private double gapMillis() {
    double load = Math.min(1, running.get() / (double) capacity);
    return MILLIS_PER_SECOND / tokensPerSecond * (1 + FULL_BATCH_SLOWDOWN * load) * slowFactor;
  }

  /** Cuts every connection and starts anew after a while. */
  private synchronized void crash() {
    crashes.incrementAndGet();
    life++;
    server.stop();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(restartMillis);
                server.start();
              } catch (IOException e) {
                System.err.println("restart failed: " + e);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private static ObjectNode chunk(String text, String finishReason) {
    ObjectNode chunk = FakeServer.MAPPER.createObjectNode();
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.putObject("delta").put("content", text);
    choice.put("finish_reason", finishReason);
    return chunk;
  }

  private static void send(OutputStream out, ObjectNode chunk) throws IOException {
    out.write(("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static void sleepMillis(double millis) throws InterruptedException {
    Thread.sleep((long) millis, (int) ((millis - (long) millis) * 1_000_000));
  }

  /**
   * The answer to a prompt.
   *
   * @param seed hash of the prompt without a continued answer
   * @param length tokens of the whole answer
   * @param from tokens that have been produced before
   * @param promptTokens tokens of the prompt
   * @param prefixHash hash of the first message
   * @param crashes whether the prompt crashes the engine
   */
  record Script(int seed, int length, int from, int promptTokens, int prefixHash, boolean crashes) {

    static Script of(JsonNode request) {
      StringBuilder prompt = new StringBuilder();
      boolean continued = request.path("continue_final_message").asBoolean();
      JsonNode messages = request.path("messages");
      int count = messages.size() - (continued ? 1 : 0);
      for (int i = 0; i < count; i++) {
        prompt.append(messages.get(i).path("content").asText()).append('\n');
      }
      String text = prompt.toString();
      int asked = askedLength(text);
      int most = request.path("max_tokens").asInt(DEFAULT_TOKENS);
      return new Script(
          text.hashCode(),
          Math.min(most, asked),
          continued ? request.path("continued_tokens").asInt() : 0,
          Math.max(1, text.length() / BYTES_PER_TOKEN),
          messages.path(0).path("content").asText().hashCode(),
          text.contains("[crash]"));
    }

    String token(int index) {
      return " w" + Math.floorMod(seed * 31 + index * 7919, 9973);
    }

    String text() {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < length; i++) {
        text.append(token(i));
      }
      return text.toString();
    }

    private static int askedLength(String text) {
      int at = text.indexOf("[len=");
      if (at < 0) {
        return DEFAULT_TOKENS;
      }
      return Integer.parseInt(text.substring(at + 5, text.indexOf(']', at)));
    }
  }
}
