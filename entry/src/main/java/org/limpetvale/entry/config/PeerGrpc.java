package org.limpetvale.entry.config;

import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.ChangeRecord;
import org.limpetvale.core.config.JsonCodec;
import org.limpetvale.wire.ExchangeReply;
import org.limpetvale.wire.ExchangeRequest;
import org.limpetvale.wire.PeerServiceGrpc;

/** The gRPC service through which peers exchange state with this entry. */
public final class PeerGrpc extends PeerServiceGrpc.PeerServiceImplBase {
  private final String self;
  private final ConfigHolder holder;
  private final ConfigFreshness freshness;
  private final SuspectGossip suspects;

  /** Creates the service of an entry. */
  public PeerGrpc(
      String self, ConfigHolder holder, ConfigFreshness freshness, SuspectGossip suspects) {
    this.self = Objects.requireNonNull(self, "self is null");
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.freshness = Objects.requireNonNull(freshness, "freshness is null");
    this.suspects = Objects.requireNonNull(suspects, "suspects is null");
  }

  @Override
  public void exchange(ExchangeRequest request, StreamObserver<ExchangeReply> out) {
    suspects.receive(request.getSuspectsList());
    long ageMillis = freshness.ageMillis();
    Optional<List<ChangeRecord>> changes = holder.changesAfter(request.getConfigVersion());
    ExchangeReply.Builder reply =
        ExchangeReply.newBuilder()
            .setEntryId(self)
            .setConfigVersion(holder.current().version())
            .setConfirmedAgeMillis(ageMillis);
    changes.ifPresentOrElse(
        list -> list.forEach(each -> reply.addChanges(JsonCodec.write(each))),
        () -> reply.setSnapshot(JsonCodec.write(holder.current())));
    out.onNext(reply.build());
    out.onCompleted();
  }
}
