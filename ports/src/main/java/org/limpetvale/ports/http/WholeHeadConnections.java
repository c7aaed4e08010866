package org.limpetvale.ports.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.io.ManagedHttpClientConnection;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.HttpConnectionFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Connections on which a response's head that ends with the stream, or names a status that does not
 * exist, is an error. The library takes a cut head for a whole one, and with no length left in it
 * an empty body for whole, too; a status of 0 ends its caller's thread with an unchecked exception,
 * and one above 599 is passed on.
 */
public final class WholeHeadConnections {
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private WholeHeadConnections() {}

  /** Returns a factory of such connections. */
  public static HttpConnectionFactory<ManagedHttpClientConnection> factory() {
    HttpMessageParserFactory<ClassicHttpResponse> parsers = WholeHeadConnections::parser;
    return ManagedHttpClientConnectionFactory.builder().responseParserFactory(parsers).build();
  }

  private static HttpMessageParser<ClassicHttpResponse> parser(Http1Config config) {
    return new WholeHeadParser(DefaultHttpResponseParserFactory.INSTANCE.create(config));
  }

  private static final class WholeHeadParser implements HttpMessageParser<ClassicHttpResponse> {
    private final HttpMessageParser<ClassicHttpResponse> parser;

    WholeHeadParser(HttpMessageParser<ClassicHttpResponse> parser) {
      this.parser = parser;
    }

    @Override
    public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in)
        throws IOException, HttpException {
      EndNotingStream stream = new EndNotingStream(in);
      ClassicHttpResponse response = parse(parser, buffer, stream);
      if (stream.ended) {
        throw new ConnectionClosedException("the connection ended within the head of a response");
      }
      if (response.getCode() < MIN_STATUS || response.getCode() > MAX_STATUS) {
        throw new ProtocolException("impossible status " + response.getCode());
      }
      return response;
    }

    private static ClassicHttpResponse parse(
        HttpMessageParser<ClassicHttpResponse> parser, SessionInputBuffer buffer, InputStream in)
        throws IOException, HttpException {
      try {
        return parser.parse(buffer, in);
      } catch (IllegalArgumentException e) {
        throw new ProtocolException("unreadable head of a response", e);
      }
    }
  }

  /** Notes whether a read reached the end of the stream. */
  private static final class EndNotingStream extends FilterInputStream {
    private boolean ended;

    EndNotingStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      int next = super.read();
      ended |= next < 0;
      return next;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      int count = super.read(bytes, offset, length);
      ended |= count < 0;
      return count;
    }
  }
}
