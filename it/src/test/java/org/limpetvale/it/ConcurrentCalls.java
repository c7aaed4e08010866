package org.limpetvale.it;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntFunction;

/** Runs calls concurrently. */
final class ConcurrentCalls {
  private ConcurrentCalls() {}

  /** Runs calls concurrently and returns their results in index order. */
  static <T> List<T> runAll(int count, IntFunction<Callable<T>> call) throws InterruptedException {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<T>> futures = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        futures.add(executor.submit(call.apply(i)));
      }
      List<T> results = new ArrayList<>();
      for (Future<T> future : futures) {
        results.add(get(future));
      }
      return results;
    }
  }

  /** Starts a call in the background. */
  static <T> Future<T> runAsync(Callable<T> call) {
    ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    Future<T> future = executor.submit(call);
    executor.shutdown();
    return future;
  }

  static <T> T get(Future<T> future) throws InterruptedException {
    try {
      return future.get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a concurrent call failed", e.getCause());
    }
  }
}
