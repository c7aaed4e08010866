package org.limpetvale.forward.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.forward.accept.RequestBody;
import org.limpetvale.forward.http.ReceiveLimit;
import org.limpetvale.forward.spi.HeaderCodec;
import org.limpetvale.forward.spi.ResponseHead;

/**
 * One connection to an upstream, with at most one request under way.
 *
 * <p>Answers to other requests than the one under way are dropped. After an answer the connection
 * is given back only once all that was read with it is known to belong to it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d+)");
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Share of an upstream's idle timeout within which a kept connection is used. */
  private static final double SAFE_IDLE_SHARE = 0.7;

  /** Idle time within which a connection is used when its upstream tells no timeout. */
  private static final long UNKNOWN_IDLE_MILLIS = 800;

  /** Interim answers, and answers to other requests, that are skipped before the one awaited. */
  private static final int MOST_SKIPPED_ANSWERS = 16;

  /** Time for the body of an answer to another request, from its header to its end. */
  private static final long LONGEST_SKIP_MILLIS = 1_000;

  private final Channel channel;
  private final ReceiveLimit received;
  private final HeaderCodec dialect;
  private final TimerService timer;
  private final Owner owner;
  private AnswerSink sink;
  private String requestId = "";

  /** Whether the answer that is being read is for another request. */
  private boolean skipping;

  private int skippedAnswers;
  private TimerService.Subscription skipEnd = () -> {};
  private AnswerBounds bounds;
  private boolean answerKeepsAlive;
  private boolean framedByLength;
  private boolean requestWritten;

  /** Passes the body on; null when it was written with the header. */
  private BodyUpload upload;

  private boolean answered;
  private boolean reset;
  private long idleSinceMillis;
  private long safeIdleMillis = UNKNOWN_IDLE_MILLIS;

  /** Whom the connection is given back to. */
  interface Owner {
    /** The connection may carry another request. */
    void reusable(UpstreamConnection connection);

    /** The connection has ended. */
    void ended(UpstreamConnection connection);
  }

  UpstreamConnection(
      Channel channel,
      ReceiveLimit received,
      HeaderCodec dialect,
      TimerService timer,
      Owner owner) {
    this.channel = Objects.requireNonNull(channel, "channel is null");
    this.received = Objects.requireNonNull(received, "received is null");
    this.dialect = Objects.requireNonNull(dialect, "dialect is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.owner = Objects.requireNonNull(owner, "owner is null");
  }

  // -- use

  /**
   * Sends a request whose answer goes to a sink.
   *
   * @param request header, with the body if that has arrived
   * @param body the body
   */
  void send(HttpRequest request, RequestBody body, String id, AnswerSink answers) {
    sink = answers;
    requestId = id;
    skipping = false;
    skippedAnswers = 0;
    received.progress();
    answered = false;
    requestWritten = false;
    boolean whole = request instanceof FullHttpRequest;
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess() && sink == answers) {
                breakOff(AnswerSink.Break.CONNECTION_LOST, "not written: " + written.cause());
              } else if (whole) {
                written(answers);
              }
            });
    if (!whole) {
      upload = new BodyUpload(channel, body, () -> written(answers));
      upload.begin();
    }
  }

  private void written(AnswerSink answers) {
    if (sink == answers) {
      requestWritten = true;
      answers.requestSent();
    }
  }

  private void endUpload() {
    if (upload != null) {
      upload.stop();
      upload = null;
    }
  }

  /** Tells whether the connection can carry a request now. */
  boolean usable() {
    return channel.isActive() && sink == null && idleMillis() <= safeIdleMillis;
  }

  /** Returns the time since its last answer. */
  long idleMillis() {
    return timer.nowMillis() - idleSinceMillis;
  }

  /** Ends the request under way, if there is one, with its connection. */
  void cancel() {
    sink = null;
    endUpload();
    channel.close();
  }

  /** Closes a connection that carries no request. */
  void close() {
    channel.close();
  }

  /** Lets more of the answer be read, or stops reading. */
  void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  // -- reading

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    HttpObject object = (HttpObject) message;
    try {
      if (sink == null) {
        channel.close();
        return;
      }
      read(object);
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void read(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      breakOff(AnswerSink.Break.SPOILED, "unreadable: " + object.decoderResult().cause());
      return;
    }
    if (object instanceof HttpResponse response) {
      readHead(response);
    }
    if (object instanceof HttpContent content && sink != null) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse response) {
    if (answered) {
      breakOff(AnswerSink.Break.SPOILED, "a second answer");
      return;
    }
    ResponseHead head = dialect.decodeResponse(response.status().code(), response.headers());
    skipping =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            || (!head.requestId().isEmpty() && !head.requestId().equals(requestId));
    if (skipping) {
      skip(response);
      return;
    }
    received.progress();
    bounds = AnswerBounds.of(response);
    answered = true;
    answerKeepsAlive = HttpUtil.isKeepAlive(response);
    framedByLength =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
    noteTimeout(response);
    sink.head(response, head);
  }

  /** Lets an answer pass that is not the one awaited, within bounds. */
  private void skip(HttpResponse response) {
    skippedAnswers++;
    if (skippedAnswers > MOST_SKIPPED_ANSWERS) {
      breakOff(AnswerSink.Break.SPOILED, "more than " + MOST_SKIPPED_ANSWERS + " other answers");
      return;
    }
    if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
      skipEnd = timer.after(LONGEST_SKIP_MILLIS, this::skipTooLong);
    }
  }

  private void skipTooLong() {
    if (skipping && sink != null) {
      breakOff(AnswerSink.Break.SPOILED, "the answer to another request does not end");
    }
  }

  private void noteTimeout(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive", "");
    Matcher matcher = TIMEOUT.matcher(keepAlive);
    if (matcher.find()) {
      long millis = Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND;
      safeIdleMillis = (long) (millis * SAFE_IDLE_SHARE);
    }
  }

  private void readContent(HttpContent content) {
    if (!skipping) {
      if (content.content().isReadable()) {
        received.progress();
        Optional<String> exceeded = bounds.exceededBy(content.content());
        if (exceeded.isPresent()) {
          breakOff(AnswerSink.Break.SPOILED, exceeded.get());
          return;
        }
        sink.content(content.content());
      }
      if (content instanceof LastHttpContent && sink != null) {
        finishAnswer();
      }
    } else if (content instanceof LastHttpContent) {
      skipping = false;
      skipEnd.cancel();
    }
  }

  private void finishAnswer() {
    if (!framedByLength && reset) {
      breakOff(AnswerSink.Break.CONNECTION_LOST, "reset before its end");
      return;
    }
    AnswerSink done = sink;
    sink = null;
    endUpload();
    done.complete();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (sink != null) {
      sink.batchEnd();
      return;
    }
    if (answered && channel.isActive()) {
      giveBack();
    }
  }

  private void giveBack() {
    answered = false;
    if (!answerKeepsAlive || !framedByLength || !requestWritten) {
      channel.close();
      return;
    }
    idleSinceMillis = timer.nowMillis();
    channel.config().setAutoRead(true);
    owner.reusable(this);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (upload != null && channel.isWritable()) {
      upload.goOn();
    }
  }

  // -- end

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      breakOff(AnswerSink.Break.SPOILED, cause.getMessage());
      return;
    }
    reset = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    breakOff(AnswerSink.Break.CONNECTION_LOST, cause.toString());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    owner.ended(this);
    breakOff(AnswerSink.Break.CONNECTION_LOST, "the connection was closed");
  }

  private void breakOff(AnswerSink.Break why, String detail) {
    AnswerSink broken = sink;
    sink = null;
    skipEnd.cancel();
    endUpload();
    channel.close();
    if (broken != null) {
      broken.broken(why, detail);
    }
  }
}
