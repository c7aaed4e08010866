package org.limpetvale.entry.http;

import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.limpetvale.core.result.Refusal;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.daemon.Ids;

/** Counts active requests and refuses new ones while the entry is draining. */
public final class DrainFilter implements Filter {
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final AtomicInteger active = new AtomicInteger();
  private volatile boolean draining;

  /** Starts refusing new requests. */
  public void drain() {
    draining = true;
  }

  /** Returns whether new requests are refused. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns the number of requests in progress. */
  public int active() {
    return active.get();
  }

  @Override
  public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
      throws IOException, ServletException {
    active.incrementAndGet();
    if (draining) {
      active.decrementAndGet();
      refuse((HttpServletResponse) response);
      return;
    }
    try {
      chain.doFilter(request, response);
    } finally {
      active.decrementAndGet();
    }
  }

  /** Returns the refusal of a request that arrives while the entry stops. */
  static Refusal refusal() {
    return Refusal.of(ResultCode.DRAINING, "this entry is stopping", RETRY_AFTER_MILLIS);
  }

  private static void refuse(HttpServletResponse response) throws IOException {
    Refusal refusal = refusal();
    response.setStatus(refusal.code().httpStatus());
    response.setContentType(ProblemResponses.MEDIA_TYPE);
    response.setHeader("Retry-After", Long.toString(ProblemResponses.retryAfterSeconds(refusal)));
    response.setHeader("Connection", "close");
    response.getWriter().write(ProblemResponses.body(refusal, Ids.next()).toString());
  }
}
