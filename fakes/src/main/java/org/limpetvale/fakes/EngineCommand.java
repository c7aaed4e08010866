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
 * Fake model engine.
 *
 * <p>Answers are deterministic: {@code [len=N]} in the prompt sets the number of tokens, and a hash
 * of the prompt determines the tokens, so that a continued answer resumes the same text. A prompt
 * that contains {@code [crash]} crashes the engine after a few tokens; the engine then restarts
 * after a delay.
 */
@Command(
    name = "engine",
    description = "A fake model engine with an OpenAI-compatible streaming API.",
    mixinStandardHelpOptions = true)
final class EngineCommand implements Callable<Integer> {
  private static final int TOKENS_BEFORE_CRASH = 3;
  private static final int DEFAULT_TOKENS = 24;
  private static final int MAX_CACHED_PREFIXES = 64;
  private static final double FULL_BATCH_SLOWDOWN = 0.5;
  private static final int BYTES_PER_TOKEN = 4;
  private static final double MILLIS_PER_SECOND = 1000;

  @Option(names = "--port", required = true, description = "Port on 127.0.0.1.")
  private int port;

  @Option(
      names = "--tokens-per-second",
      defaultValue = "50",
      description = "Token rate of a single stream.")
  private double tokensPerSecond;

  @Option(
      names = "--prefill-tokens-per-second",
      defaultValue = "20000",
      description = "Prefill rate, in tokens per second.")
  private double prefillTokensPerSecond;

  @Option(
      names = "--capacity",
      defaultValue = "16",
      description = "Maximum number of concurrent streams.")
  private int capacity;

  @Option(
      names = "--restart-millis",
      defaultValue = "500",
      description = "Delay before the restart after a crash.")
  private long restartMillis;

  @Option(names = "--record", description = "Record every request in the journal.")
  private boolean recordRequests;

  private final AtomicInteger runningCount = new AtomicInteger();
  private final AtomicInteger crashCount = new AtomicInteger();
  private final AtomicLong producedTokens = new AtomicLong();
  private final AtomicInteger stallsLeft = new AtomicInteger();
  private final List<JournalEntry> journal = Collections.synchronizedList(new ArrayList<>());
  private final Map<Integer, Boolean> cachedPrefixes =
      Collections.synchronizedMap(
          new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
              return size() > MAX_CACHED_PREFIXES;
            }
          });
  private final PriorityBlockingQueue<Ticket> queue = new PriorityBlockingQueue<>();
  private final AtomicLong lastTicketNumber = new AtomicLong();
  private volatile double slowFactor = 1;
  private volatile int generation;
  private FakeServer server;

  /** A request and its outcome. */
  private record JournalEntry(String requestId, String received, String end, int tokens) {}

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
      case "/health" -> FakeServer.reply(exchange, 200, Map.of("life", generation));
      case "/load" -> FakeServer.reply(exchange, 200, Map.of("running", runningCount.get()));
      case "/journal" -> FakeServer.reply(exchange, 200, List.copyOf(journal));
      case "/counts" ->
          FakeServer.reply(
              exchange, 200, Map.of("crashes", crashCount.get(), "tokens", producedTokens.get()));
      case "/faults" -> setFaults(exchange);
      case "/v1/models/load" -> FakeServer.reply(exchange, 200, Map.of());
      case "/v1/chat/completions" -> complete(exchange);
      default -> FakeServer.reply(exchange, 404, Map.of());
    }
  }

  private void setFaults(HttpExchange exchange) throws IOException {
    JsonNode json = FakeServer.readJson(exchange);
    slowFactor = json.path("slowFactor").asDouble(slowFactor);
    stallsLeft.set(json.path("silences").asInt(stallsLeft.get()));
    FakeServer.reply(exchange, 200, Map.of());
    if (json.path("crash").asBoolean()) {
      crash();
    }
  }

  private void complete(HttpExchange exchange) throws IOException, InterruptedException {
    String body = FakeServer.readBody(exchange);
    JsonNode request = FakeServer.MAPPER.readTree(body);
    ScriptedAnswer answer = ScriptedAnswer.of(request);
    String requestId = String.valueOf(exchange.getRequestHeaders().getFirst("X-Request-Id"));
    String received =
        recordRequests
            ? exchange.getRequestURI()
                + "\n"
                + exchange.getRequestHeaders().entrySet()
                + "\n"
                + body
            : "";
    int startGeneration = generation;
    Ticket ticket =
        new Ticket(request.path("priority").asInt(0), lastTicketNumber.incrementAndGet());
    awaitSlot(ticket);
    int sent = 0;
    String end = "cut";
    try {
      boolean cached = cachedPrefixes.put(answer.prefixHash(), true) != null;
      sleepMillis(
          answer.promptTokens() / prefillTokensPerSecond * MILLIS_PER_SECOND * (cached ? 0.1 : 1));
      boolean stream = request.path("stream").asBoolean();
      if (stream) {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
      }
      OutputStream out = stream ? exchange.getResponseBody() : OutputStream.nullOutputStream();
      boolean stalled = stallsLeft.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
      for (int i = answer.continuedTokens(); i < answer.length(); i++) {
        if (generation != startGeneration) {
          exchange.close();
          return;
        }
        if (answer.crashes() && sent >= TOKENS_BEFORE_CRASH) {
          end = "crash";
          crash();
          return;
        }
        if (stalled && sent >= TOKENS_BEFORE_CRASH) {
          end = "silent";
          runningCount.decrementAndGet();
          FakeServer.waitForever();
        }
        sleepMillis(tokenGapMillis());
        producedTokens.incrementAndGet();
        sendEvent(out, chunk(answer.token(i), null));
        sent++;
      }
      finish(exchange, out, answer, sent, stream, cached);
      end = "whole";
    } finally {
      if (!end.equals("silent")) {
        runningCount.decrementAndGet();
      }
      journal.add(new JournalEntry(requestId, received, end, sent));
    }
  }

  private static void finish(
      HttpExchange exchange,
      OutputStream out,
      ScriptedAnswer answer,
      int sent,
      boolean stream,
      boolean cached)
      throws IOException {
    ObjectNode usage = FakeServer.MAPPER.createObjectNode();
    usage.put("prompt_tokens", answer.promptTokens());
    usage.put("completion_tokens", sent);
    usage
        .putObject("prompt_tokens_details")
        .put("cached_tokens", cached ? answer.promptTokens() / 2 : 0);
    if (!stream) {
      ObjectNode completion = FakeServer.MAPPER.createObjectNode();
      completion.putArray("choices").addObject().putObject("message").put("content", answer.text());
      completion.set("usage", usage);
      FakeServer.reply(exchange, 200, completion);
      return;
    }
    ObjectNode last = chunk("", "stop");
    last.set("usage", usage);
    sendEvent(out, last);
    out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    out.flush();
    exchange.close();
  }

  private void awaitSlot(Ticket ticket) throws InterruptedException {
    queue.add(ticket);
    while (true) {
      if (ticket.equals(queue.peek()) && runningCount.get() < capacity) {
        queue.remove(ticket);
        runningCount.incrementAndGet();
        return;
      }
      Thread.sleep(2);
    }
  }

  private double tokenGapMillis() {
    double load = Math.min(1, runningCount.get() / (double) capacity);
    return MILLIS_PER_SECOND / tokensPerSecond * (1 + FULL_BATCH_SLOWDOWN * load) * slowFactor;
  }

  /** Closes every connection and restarts the server after a delay. */
  private synchronized void crash() {
    crashCount.incrementAndGet();
    generation++;
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

  private static void sendEvent(OutputStream out, ObjectNode chunk) throws IOException {
    out.write(("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static void sleepMillis(double millis) throws InterruptedException {
    Thread.sleep((long) millis, (int) ((millis - (long) millis) * 1_000_000));
  }

  /**
   * The deterministic answer to a prompt.
   *
   * @param seed hash of the prompt without the partial answer to continue
   * @param length number of tokens of the complete answer
   * @param continuedTokens number of tokens already produced by an earlier attempt
   * @param promptTokens number of tokens of the prompt
   * @param prefixHash hash of the first message
   * @param crashes whether the prompt makes the engine crash
   */
  record ScriptedAnswer(
      int seed,
      int length,
      int continuedTokens,
      int promptTokens,
      int prefixHash,
      boolean crashes) {

    static ScriptedAnswer of(JsonNode request) {
      StringBuilder prompt = new StringBuilder();
      boolean continued = request.path("continue_final_message").asBoolean();
      JsonNode messages = request.path("messages");
      int count = messages.size() - (continued ? 1 : 0);
      for (int i = 0; i < count; i++) {
        prompt.append(messages.get(i).path("content").asText()).append('\n');
      }
      String text = prompt.toString();
      int requestedTokens = requestedLength(text);
      int maxTokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
      return new ScriptedAnswer(
          text.hashCode(),
          Math.min(maxTokens, requestedTokens),
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

    private static int requestedLength(String text) {
      int start = text.indexOf("[len=");
      if (start < 0) {
        return DEFAULT_TOKENS;
      }
      return Integer.parseInt(text.substring(start + 5, text.indexOf(']', start)));
    }
  }
}
