package org.limpetvale.entry.http;

import java.io.IOException;
import java.io.InputStream;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;

/** Reads request bodies up to a maximum size. */
final class BodyReader {
  private static final int MAX_BODY_BYTES = 4 << 20;

  private BodyReader() {}

  static Result<byte[]> read(InputStream body) {
    try {
      byte[] bytes = body.readNBytes(MAX_BODY_BYTES + 1);
      return bytes.length > MAX_BODY_BYTES
          ? Result.err(ResultCode.BODY_TOO_LARGE, "the limit is " + MAX_BODY_BYTES + " bytes")
          : Result.ok(bytes);
    } catch (IOException e) {
      return Result.err(ResultCode.BODY_TOO_SLOW, "the body did not arrive whole");
    }
  }
}
