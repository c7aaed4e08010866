package org.limpetvale.entry;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.daemon.Digests;
import org.limpetvale.daemon.Identity;
import org.limpetvale.daemon.Ids;
import org.limpetvale.daemon.PlatformSettings;
import org.limpetvale.daemon.TransportSecurity;
import org.limpetvale.entry.account.Accounting;
import org.limpetvale.entry.authenticate.Authenticator;
import org.limpetvale.entry.claim.ClaimStore;
import org.limpetvale.entry.claim.SuspectRegistry;
import org.limpetvale.entry.config.ConfigFreshness;
import org.limpetvale.entry.config.ConfigHistory;
import org.limpetvale.entry.config.ConfigHolder;
import org.limpetvale.entry.config.ConfigReader;
import org.limpetvale.entry.config.ConfigSync;
import org.limpetvale.entry.config.ConfigWriter;
import org.limpetvale.entry.config.PeerExchange;
import org.limpetvale.entry.config.PeerGrpc;
import org.limpetvale.entry.control.ControlDuties;
import org.limpetvale.entry.control.FencedSender;
import org.limpetvale.entry.control.OperatorRequests;
import org.limpetvale.entry.http.StatusReport;
import org.limpetvale.entry.route.AnswerLengthEstimator;
import org.limpetvale.entry.route.DecisionLog;
import org.limpetvale.entry.route.Dispatcher;
import org.limpetvale.entry.route.TokenBudgets;
import org.limpetvale.entry.run.ModelRunFactory;
import org.limpetvale.entry.run.OpenRequests;
import org.limpetvale.entry.upstream.SidecarPool;
import org.limpetvale.entry.upstream.VmDirectory;
import org.limpetvale.entry.usage.UsageLedger;
import org.limpetvale.entry.usage.UsageRecovery;
import org.limpetvale.ports.ObjectStore;
import org.limpetvale.ports.PowerControl;
import org.limpetvale.ports.Table;
import org.limpetvale.ports.TransactionRunner;
import org.limpetvale.ports.UsageSink;
import org.limpetvale.ports.Vm;
import org.limpetvale.ports.VmList;
import org.limpetvale.ports.http.HttpObjectStore;
import org.limpetvale.ports.http.HttpPowerControl;
import org.limpetvale.ports.http.HttpTable;
import org.limpetvale.ports.http.HttpUsageSink;
import org.limpetvale.ports.http.HttpVmList;
import org.limpetvale.ports.http.JsonHttpClient;
import org.limpetvale.ports.time.ThreadTimerService;

/** Binds the components of an entry. */
final class EntryModule extends AbstractModule {
  private final EntrySettings settings;
  private final MeterRegistry metrics;
  private final String entryId;

  EntryModule(EntrySettings settings, MeterRegistry metrics) {
    this.settings = Objects.requireNonNull(settings, "settings is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.entryId = settings.identity().vm() + "/" + Ids.next();
  }

  @Override
  protected void configure() {
    bind(MeterRegistry.class).toInstance(metrics);
    bind(Identity.class).toInstance(settings.identity());
  }

  @Provides
  @Singleton
  TimerService timer() {
    return ThreadTimerService.of();
  }

  @Provides
  @Singleton
  Table table() {
    return HttpTable.of(http(settings.platform().tableUrl()));
  }

  @Provides
  @Singleton
  ObjectStore objects() {
    return HttpObjectStore.of(http(settings.platform().objectStoreUrl()));
  }

  @Provides
  @Singleton
  VmList vmList() {
    return HttpVmList.of(http(settings.platform().vmListUrl()));
  }

  @Provides
  @Singleton
  PowerControl power() {
    return HttpPowerControl.of(http(settings.platform().powerUrl()));
  }

  @Provides
  @Singleton
  UsageSink usageSink() {
    return HttpUsageSink.of(http(settings.platform().usageUrl()), entryId);
  }

  @Provides
  @Singleton
  TransactionRunner commits(Table table, TimerService timer) {
    return TransactionRunner.of(table, timer);
  }

  private JsonHttpClient http(String url) {
    PlatformSettings platform = settings.platform();
    return JsonHttpClient.of(url, settings.identity().vm(), platform.timeoutMillis());
  }

  @Provides
  @Singleton
  TransportSecurity security() {
    return TransportSecurity.of(settings.grpc().tls());
  }

  @Provides
  @Singleton
  Digests digests() {
    return Digests.of(settings.keyDigestSecret());
  }

  @Provides
  @Singleton
  ConfigHolder config() {
    return ConfigHolder.empty();
  }

  @Provides
  @Singleton
  ConfigFreshness freshness(TimerService timer) {
    return ConfigFreshness.of(timer);
  }

  @Provides
  @Singleton
  ConfigReader configReader(
      Table table,
      ObjectStore objects,
      ConfigHolder holder,
      ConfigFreshness freshness,
      TimerService timer) {
    return ConfigReader.of(table, objects, holder, freshness, timer);
  }

  @Provides
  @Singleton
  ConfigWriter configWriter(
      Table table,
      ObjectStore objects,
      ConfigHolder holder,
      ConfigReader reader,
      TransactionRunner commits) {
    return ConfigWriter.of(table, objects, holder, reader, commits);
  }

  @Provides
  @Singleton
  ConfigHistory configHistory(Table table) {
    return new ConfigHistory(table);
  }

  @Provides
  @Singleton
  PeerExchange peers(
      VmDirectory directory,
      ConfigHolder holder,
      ConfigFreshness freshness,
      SuspectRegistry suspects,
      TransportSecurity security,
      TimerService timer) {
    PeerExchange peers =
        new PeerExchange(
            entryId,
            settings.identity().vm(),
            directory,
            holder,
            freshness,
            suspects,
            security,
            timer,
            metrics);
    suspects.setPeerNotifier(peers::exchangeWithAll);
    return peers;
  }

  @Provides
  @Singleton
  PeerGrpc peerGrpc(ConfigHolder holder, ConfigFreshness freshness, SuspectRegistry suspects) {
    return new PeerGrpc(entryId, holder, freshness, suspects);
  }

  @Provides
  @Singleton
  ConfigSync configSync(
      ConfigReader reader, PeerExchange peers, ConfigHolder holder, TimerService timer) {
    return new ConfigSync(reader, peers, holder, timer);
  }

  @Provides
  @Singleton
  VmDirectory directory(VmList list, TimerService timer) {
    return new VmDirectory(list, timer);
  }

  @Provides
  @Singleton
  SidecarPool pool(
      TransportSecurity security, TimerService timer, UsageLedger ledger, ConfigSync sync) {
    return new SidecarPool(
        settings.identity(),
        entryId,
        settings.routing().sidecarsPerPool(),
        security,
        timer,
        ledger,
        sync,
        metrics);
  }

  @Provides
  @Singleton
  Authenticator authenticator(ConfigHolder config, ConfigFreshness freshness, Digests digests) {
    return new Authenticator(config, freshness, digests, settings.operatorKeyDigests());
  }

  @Provides
  @Singleton
  OpenRequests openRequests(ConfigHolder config, ConfigFreshness freshness, TimerService timer) {
    return new OpenRequests(config, freshness, timer);
  }

  @Provides
  @Singleton
  DecisionLog decisions() {
    return new DecisionLog();
  }

  @Provides
  @Singleton
  SuspectRegistry suspects(Table table, TimerService timer) {
    return new SuspectRegistry(table, timer);
  }

  @Provides
  @Singleton
  ClaimStore claims(Table table, TransactionRunner commits, Digests digests, TimerService timer) {
    return new ClaimStore(table, commits, digests, timer);
  }

  @Provides
  @Singleton
  Dispatcher dispatcher(
      SidecarPool pool, ConfigHolder config, DecisionLog decisions, TimerService timer) {
    return new Dispatcher(settings, entryId, pool, config, decisions, timer, metrics);
  }

  @Provides
  @Singleton
  AnswerLengthEstimator lengths() {
    return new AnswerLengthEstimator();
  }

  @Provides
  @Singleton
  Accounting accounting(
      UsageLedger ledger,
      AnswerLengthEstimator lengths,
      DecisionLog decisions,
      TimerService timer) {
    return new Accounting(ledger, lengths, decisions, timer, metrics);
  }

  @Provides
  @Singleton
  ModelRunFactory modelRuns(
      Dispatcher dispatcher,
      SuspectRegistry suspects,
      AnswerLengthEstimator lengths,
      VmDirectory directory,
      Accounting accounting,
      TimerService timer) {
    TokenBudgets budgets = new TokenBudgets(timer, () -> entryCount(directory));
    return new ModelRunFactory(dispatcher, suspects, lengths, budgets, accounting);
  }

  private static int entryCount(VmDirectory directory) {
    return (int) directory.all().stream().filter(vm -> vm.role() == Vm.Role.ENTRY).count();
  }

  @Provides
  @Singleton
  UsageLedger ledger(TransactionRunner commits, TimerService timer) {
    ControlSettings control = settings.control();
    return new UsageLedger(
        commits, timer, metrics, entryId, control.usageWindowMillis(), control.usageFlushMillis());
  }

  @Provides
  @Singleton
  UsageRecovery recovery(
      UsageLedger ledger,
      SidecarPool pool,
      Table table,
      TransactionRunner commits,
      TimerService timer) {
    return new UsageRecovery(
        ledger, pool, table, commits, timer, metrics, settings.control().usageWindowMillis());
  }

  @Provides
  @Singleton
  FencedSender sender(
      Table table,
      TransactionRunner commits,
      VmDirectory directory,
      PeerExchange peers,
      TimerService timer) {
    return new FencedSender(
        entryId,
        table,
        commits,
        process -> ControlDuties.isGone(process, entryId, directory, peers),
        timer);
  }

  @Provides
  @Singleton
  ControlDuties duties(
      FencedSender sender,
      PowerControl power,
      SidecarPool pool,
      VmDirectory directory,
      Table table,
      TransactionRunner commits,
      UsageSink sink,
      TimerService timer) {
    return new ControlDuties(
        settings, entryId, sender, power, pool, directory, table, commits, sink, timer, metrics);
  }

  @Provides
  @Singleton
  OperatorRequests operatorRequests(
      VmDirectory directory, PowerControl power, Table table, TransactionRunner commits) {
    return new OperatorRequests(directory, power, table, commits);
  }

  @Provides
  @Singleton
  StatusReport status(
      ConfigHolder config,
      ConfigFreshness freshness,
      SidecarPool pool,
      OpenRequests openRequests,
      ControlDuties duties) {
    return new StatusReport(entryId, config, freshness, pool, openRequests, duties::leases);
  }
}
