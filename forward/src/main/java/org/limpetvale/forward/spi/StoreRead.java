package org.limpetvale.forward.spi;

import java.util.Objects;

/** The outcome of a read from the store. */
public sealed interface StoreRead {
  /** The rows. */
  record Page(RowPage page) implements StoreRead {
    public Page {
      Objects.requireNonNull(page, "page is null");
    }
  }

  /** The history since the version asked for is no longer kept; read everything again. */
  record HistoryGone() implements StoreRead {}

  /** There was no usable answer. */
  record Failed(String detail) implements StoreRead {
    public Failed {
      Objects.requireNonNull(detail, "detail is null");
    }
  }
}
