package org.limpetvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Runs a load scenario. Each request is sent at its arrival time, regardless of earlier ones. */
final class LoadGenerator {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA_PREFIX = "data: ";
  private static final String END_OF_STREAM = "[DONE]";
  private static final String CONTENT_FIELD = "\"content\":\"";
  private static final String EMPTY_CONTENT_FIELD = "\"content\":\"\"";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final int MAX_ANSWER_TOKENS = 2000;

  private final LoadScenario scenario;
  private final Map<LoadScenario.Flow, String> keys;
  private final List<URI> targets;
  private final HttpClient client;
  private final Map<LoadScenario.Flow, LoadResult> results = new ConcurrentHashMap<>();
  private final AtomicLong nextTarget = new AtomicLong();

  LoadGenerator(LoadScenario scenario, Map<LoadScenario.Flow, String> keys, List<String> targets) {
    this.scenario = Objects.requireNonNull(scenario, "scenario is null");
    this.keys = Map.copyOf(keys);
    this.targets = targets.stream().map(each -> URI.create(each + "/v1/chat/completions")).toList();
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(3))
            .build();
  }

  private record Arrival(long atMillis, LoadScenario.Flow flow, int tokens, long sequence) {}

  /** Runs the scenario; returns the results by flow. */
  Map<LoadScenario.Flow, LoadResult> run() throws InterruptedException {
    scenario.flows().forEach(flow -> results.put(flow, new LoadResult()));
    long startNanos = System.nanoTime();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (Arrival arrival : arrivals()) {
        long arrivalNanos = startNanos + arrival.atMillis() * NANOS_PER_MILLI;
        long remainingMillis = (arrivalNanos - System.nanoTime()) / NANOS_PER_MILLI;
        if (remainingMillis > 0) {
          Thread.sleep(remainingMillis);
        }
        executor.execute(() -> send(arrival));
      }
    }
    return results;
  }

  private List<Arrival> arrivals() {
    List<Arrival> all = new ArrayList<>();
    long number = 0;
    for (int i = 0; i < scenario.flows().size(); i++) {
      LoadScenario.Flow flow = scenario.flows().get(i);
      SplittableRandom random = new SplittableRandom(scenario.seed() + i);
      double atMillis = 0;
      while (true) {
        boolean burst = atMillis >= flow.burstFromMillis() && atMillis < flow.burstToMillis();
        double perSecond = flow.perSecond() * (burst ? flow.burstFactor() : 1);
        atMillis += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
        if (atMillis >= scenario.durationMillis()) {
          break;
        }
        double length = flow.medianTokens() * Math.exp(flow.tailSigma() * random.nextGaussian());
        int tokens = (int) Math.clamp(Math.round(length), 1, MAX_ANSWER_TOKENS);
        all.add(new Arrival(Math.round(atMillis), flow, tokens, number++));
      }
    }
    all.sort(Comparator.comparingLong(Arrival::atMillis));
    return all;
  }

  private void send(Arrival arrival) {
    LoadResult result = results.get(arrival.flow());
    result.recordSent();
    long retryAfterMillis = attempt(arrival, result);
    if (retryAfterMillis > 0 && arrival.flow().resend()) {
      try {
        Thread.sleep(retryAfterMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      result.recordResent();
      attempt(arrival, result);
    }
  }

  /** Sends one request; returns the retry delay after a refusal, in milliseconds, or 0. */
  private long attempt(Arrival arrival, LoadResult result) {
    URI target = targets.get((int) (nextTarget.getAndIncrement() % targets.size()));
    HttpRequest request =
        HttpRequest.newBuilder(target)
            .header("Authorization", "Bearer " + keys.get(arrival.flow()))
            .header("X-Request-Class", arrival.flow().requestClass())
            .header("Content-Type", "application/json")
            .timeout(Duration.ofMinutes(2))
            .POST(HttpRequest.BodyPublishers.ofString(body(arrival)))
            .build();
    long startNanos = System.nanoTime();
    try {
      HttpResponse<InputStream> response =
          client.send(request, HttpResponse.BodyHandlers.ofInputStream());
      if (response.statusCode() != 200) {
        return refused(response, result);
      }
      read(response.body(), arrival, startNanos, result);
    } catch (IOException e) {
      result.recordFailed("io");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }

  private static long refused(HttpResponse<InputStream> response, LoadResult result)
      throws IOException {
    JsonNode problem = MAPPER.readTree(response.body());
    result.recordRefused(problem.path("code").asText(String.valueOf(response.statusCode())));
    return response
        .headers()
        .firstValue("Retry-After")
        .map(seconds -> Math.round(Double.parseDouble(seconds) * MILLIS_PER_SECOND))
        .orElse(0L);
  }

  private static void read(InputStream body, Arrival arrival, long startNanos, LoadResult result)
      throws IOException {
    long firstTokenNanos = 0;
    long lastTokenNanos = 0;
    int tokens = 0;
    boolean complete = false;
    String error = "";
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (!line.startsWith(DATA_PREFIX)) {
          continue;
        }
        String data = line.substring(DATA_PREFIX.length());
        if (data.equals(END_OF_STREAM)) {
          complete = true;
          break;
        }
        if (data.contains("\"error\"")) {
          error = MAPPER.readTree(data).path("code").asText();
        }
        if (data.contains(CONTENT_FIELD) && !data.contains(EMPTY_CONTENT_FIELD)) {
          lastTokenNanos = System.nanoTime();
          firstTokenNanos = firstTokenNanos == 0 ? lastTokenNanos : firstTokenNanos;
          tokens++;
        }
      }
    }
    if (!complete || tokens != arrival.tokens()) {
      result.recordFailed(error.isEmpty() ? (complete ? "length" : "cut") : error);
      result.recordWasted(tokens);
      return;
    }
    double firstTokenMillis = (firstTokenNanos - startNanos) / (double) NANOS_PER_MILLI;
    double gapMillis =
        tokens > 1
            ? (lastTokenNanos - firstTokenNanos) / (double) NANOS_PER_MILLI / (tokens - 1)
            : 0;
    result.recordCompleted(
        tokens,
        firstTokenMillis,
        gapMillis,
        firstTokenMillis <= arrival.flow().firstTokenTargetMillis()
            && gapMillis <= arrival.flow().tokenGapTargetMillis());
  }

  private String body(Arrival arrival) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("model", scenario.model());
    body.put("stream", true);
    body.put("max_tokens", MAX_ANSWER_TOKENS);
    ObjectNode message = body.putArray("messages").addObject();
    message.put("role", "user");
    message.put(
        "content",
        arrival.flow().workspace()
            + " "
            + "x".repeat(arrival.flow().promptChars())
            + " "
            + arrival.sequence()
            + " [len="
            + arrival.tokens()
            + "]");
    return body.toString();
  }
}
