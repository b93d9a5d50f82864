package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.jspecify.annotations.Nullable;

/**
 * The replicated state that every VM holds: configuration, API keys, registered VMs and the term
 * and primary of each database.
 *
 * <p>A view is immutable. Applying the same commands in the same order yields equal views on every
 * VM. VMs therefore send each other the accepted commands as differences between views.
 *
 * @param version the number of commands accepted so far
 * @param configurationVersion the number of configuration changes accepted so far
 * @param configuration the configuration that operators declared
 * @param keys the valid API keys, by key id
 * @param databases the term and primary of each database, by database name
 * @param vms the registered VMs, by name
 * @param document the last document that replaced the whole configuration, or {@link
 *     DeclaredDocument#NONE}
 * @param evacuatedDomains the failure domains to whose servers nothing is sent; a view that was
 *     stored before evacuations existed has none
 */
public record View(
    long version,
    long configurationVersion,
    Configuration configuration,
    Map<String, ApiKey> keys,
    Map<String, DatabaseState> databases,
    Map<String, VmRecord> vms,
    DeclaredDocument document,
    Set<String> evacuatedDomains) {

  /** The view before the first command. */
  public static final View EMPTY =
      new View(
          0, 0, Configuration.EMPTY, Map.of(), Map.of(), Map.of(), DeclaredDocument.NONE, Set.of());

  /**
   * The time between the proposal of a change to the set of claim holders and its effect, in
   * milliseconds.
   */
  public static final long CLAIM_CHANGE_DELAY_MILLIS = 10_000;

  /**
   * How long the record of a removed VM is retained after its claims end, in milliseconds. Request
   * claims may refer to the VM during this time.
   */
  public static final long CLAIM_RETENTION_MILLIS = 600_000;

  /** The maximum number of evacuated failure domains, which bounds the size of the view. */
  public static final int MAX_EVACUATED_DOMAINS = 1_000;

  /** Copies the maps and the set. */
  public View {
    requireNonNull(configuration, "configuration");
    keys = Map.copyOf(keys);
    databases = Map.copyOf(databases);
    vms = Map.copyOf(vms);
    requireNonNull(document, "document");
    evacuatedDomains = evacuatedDomains == null ? Set.of() : Set.copyOf(evacuatedDomains);
  }

  /**
   * Creates a view without a declared document and without evacuated failure domains.
   *
   * @param version the number of commands accepted so far
   * @param configurationVersion the number of configuration changes accepted so far
   * @param configuration the configuration that operators declared
   * @param keys the valid API keys, by key id
   * @param databases the term and primary of each database, by database name
   * @param vms the registered VMs, by name
   */
  public View(
      long version,
      long configurationVersion,
      Configuration configuration,
      Map<String, ApiKey> keys,
      Map<String, DatabaseState> databases,
      Map<String, VmRecord> vms) {
    this(
        version,
        configurationVersion,
        configuration,
        keys,
        databases,
        vms,
        DeclaredDocument.NONE,
        Set.of());
  }

  /**
   * Applies a command.
   *
   * @param command the command to apply
   * @return the resulting view, or this view and the reason for the rejection
   */
  public Transition apply(ViewCommand command) {
    return switch (command) {
      case ViewCommand.ChangeConfiguration change -> changeConfiguration(change);
      case ViewCommand.ReplaceConfiguration replacement -> replaceConfiguration(replacement);
      case ViewCommand.AddKey add -> addKey(add.key());
      case ViewCommand.WithdrawKey withdraw -> withdrawKey(withdraw.keyId());
      case ViewCommand.RemoveVm remove -> removeVm(remove.vm(), remove.proposedAtMillis());
      case ViewCommand.RegisterVm register -> registerVm(register);
      case ViewCommand.BeginTerm begin -> beginTerm(begin);
      case ViewCommand.CompleteTerm complete -> completeTerm(complete);
      case ViewCommand.BeginEvacuation begin -> beginEvacuation(begin.failureDomain());
      case ViewCommand.EndEvacuation end -> endEvacuation(end.failureDomain());
    };
  }

  /**
   * Returns the term and primary of a database.
   *
   * @param database the database name
   */
  public DatabaseState database(String database) {
    return databases.getOrDefault(database, DatabaseState.INITIAL);
  }

  /** Returns the VMs that are current members, sorted by name. */
  public List<VmRecord> activeVms() {
    return vms.values().stream()
        .filter(VmRecord::active)
        .sorted((a, b) -> a.name().compareTo(b.name()))
        .toList();
  }

  private Transition changeConfiguration(ViewCommand.ChangeConfiguration command) {
    if (command.expectedVersion() != configurationVersion) {
      return rejected(
          ResultCode.VERSION_CONFLICT,
          "The configuration is at version %d, not %d."
              .formatted(configurationVersion, command.expectedVersion()));
    }
    Configuration next = configuration.apply(command.change());
    List<String> errors = next.validationErrors();
    if (!errors.isEmpty()) {
      return rejected(ResultCode.INVALID_CHANGE, String.join("; ", errors));
    }
    Map<String, ApiKey> remainingKeys = new HashMap<>(keys);
    remainingKeys.values().removeIf(key -> !next.customers().containsKey(key.customer()));
    Map<String, DatabaseState> states = new HashMap<>(databases);
    states.keySet().retainAll(next.databases().keySet());
    return accepted(
        new View(
            version + 1,
            configurationVersion + 1,
            next,
            remainingKeys,
            states,
            vms,
            document,
            evacuatedDomains),
        "Configuration version %d is accepted.".formatted(configurationVersion + 1));
  }

  /** Applies a document with a higher version; acknowledges any other without a change. */
  private Transition replaceConfiguration(ViewCommand.ReplaceConfiguration command) {
    long proposedVersion = command.document().version();
    if (proposedVersion <= document.version()) {
      return new Transition(
          this,
          ResultCode.OK,
          "Configuration version %d is in force already.".formatted(document.version()));
    }
    Configuration next = command.configuration();
    List<String> errors = next.validationErrors();
    if (!errors.isEmpty()) {
      return rejected(ResultCode.INVALID_CHANGE, String.join("; ", errors));
    }
    Map<String, ApiKey> nextKeys = new HashMap<>();
    command.keys().forEach(key -> nextKeys.put(key.id(), key));
    Map<String, DatabaseState> states = new HashMap<>(databases);
    states.keySet().retainAll(next.databases().keySet());
    return accepted(
        new View(
            version + 1,
            configurationVersion + 1,
            next,
            nextKeys,
            states,
            vms,
            command.document(),
            evacuatedDomains),
        "Configuration version %d is accepted.".formatted(proposedVersion));
  }

  private Transition addKey(ApiKey key) {
    if (!configuration.customers().containsKey(key.customer())) {
      return rejected(
          ResultCode.NO_SUCH_OBJECT, "Customer %s does not exist.".formatted(key.customer()));
    }
    if (keys.containsKey(key.id())) {
      return rejected(ResultCode.INVALID_CHANGE, "Key %s exists already.".formatted(key.id()));
    }
    return accepted(
        withKeys(copyWithEntry(keys, key.id(), key)),
        "Key %s of customer %s is added.".formatted(key.id(), key.customer()));
  }

  private Transition withdrawKey(String keyId) {
    if (!keys.containsKey(keyId)) {
      return rejected(ResultCode.NO_SUCH_OBJECT, "Key %s does not exist.".formatted(keyId));
    }
    Map<String, ApiKey> next = new HashMap<>(keys);
    next.remove(keyId);
    return accepted(withKeys(next), "Key %s is withdrawn.".formatted(keyId));
  }

  private Transition registerVm(ViewCommand.RegisterVm command) {
    VmRecord vm = command.vm();
    VmRecord known = vms.get(vm.name());
    if (known != null && !known.active() && !isExpired(known, command.proposedAtMillis())) {
      return rejected(
          ResultCode.INVALID_CHANGE,
          "VM %s was removed; its name can be used again later.".formatted(vm.name()));
    }
    long claimsFrom = claimsFrom(known, command.proposedAtMillis());
    VmRecord next =
        new VmRecord(
            vm.name(),
            vm.failureDomain(),
            vm.region(),
            vm.peerAddress(),
            claimsFrom,
            Long.MAX_VALUE,
            true,
            vm.servesCallers());
    if (Objects.equals(known, next)) {
      return rejected(ResultCode.INVALID_CHANGE, "VM %s is unchanged.".formatted(vm.name()));
    }
    Map<String, VmRecord> members = new HashMap<>(vms);
    members.values().removeIf(other -> isExpired(other, command.proposedAtMillis()));
    members.put(vm.name(), next);
    return accepted(withVms(members), "VM %s is registered.".formatted(vm.name()));
  }

  private long claimsFrom(@Nullable VmRecord known, long now) {
    if (known != null && known.active()) {
      return known.claimsFromMillis();
    }
    boolean firstVm = vms.values().stream().noneMatch(VmRecord::active);
    return firstVm ? 0 : now + CLAIM_CHANGE_DELAY_MILLIS;
  }

  private static boolean isExpired(VmRecord vm, long now) {
    return !vm.active() && vm.claimsUntilMillis() + CLAIM_RETENTION_MILLIS < now;
  }

  private Transition removeVm(String name, long now) {
    VmRecord known = vms.get(name);
    if (known == null || !known.active()) {
      return rejected(ResultCode.NO_SUCH_OBJECT, "VM %s does not exist.".formatted(name));
    }
    VmRecord removed =
        new VmRecord(
            name,
            known.failureDomain(),
            known.region(),
            known.peerAddress(),
            known.claimsFromMillis(),
            now + CLAIM_CHANGE_DELAY_MILLIS,
            false,
            known.servesCallers());
    return accepted(
        withVms(copyWithEntry(vms, name, removed)), "VM %s is removed.".formatted(name));
  }

  private Transition beginTerm(ViewCommand.BeginTerm command) {
    DatabaseState state = database(command.database());
    if (!configuration.databases().containsKey(command.database())
        || command.term() != state.term() + 1) {
      return rejected(
          ResultCode.INVALID_CHANGE,
          "Term %d of database %s cannot begin.".formatted(command.term(), command.database()));
    }
    DatabaseState next = new DatabaseState(command.term(), null, state.starts(), version + 1);
    return accepted(
        withDatabases(copyWithEntry(databases, command.database(), next)),
        "Term %d of database %s began.".formatted(command.term(), command.database()));
  }

  private Transition completeTerm(ViewCommand.CompleteTerm command) {
    DatabaseState state = database(command.database());
    if (command.term() != state.term() || state.primary() != null) {
      return rejected(
          ResultCode.INVALID_CHANGE,
          "Term %d of database %s cannot be completed."
              .formatted(command.term(), command.database()));
    }
    List<TermStart> starts = new ArrayList<>(state.starts());
    starts.add(new TermStart(command.term(), command.startOffset()));
    DatabaseState next =
        new DatabaseState(command.term(), command.primary(), starts, state.fence());
    return accepted(
        withDatabases(copyWithEntry(databases, command.database(), next)),
        "Server %s is primary of database %s in term %d."
            .formatted(command.primary(), command.database(), command.term()));
  }

  private Transition beginEvacuation(String failureDomain) {
    if (evacuatedDomains.contains(failureDomain)) {
      return unchanged("Failure domain %s is evacuated already.".formatted(failureDomain));
    }
    if (evacuatedDomains.size() >= MAX_EVACUATED_DOMAINS) {
      return rejected(ResultCode.INVALID_CHANGE, "Too many failure domains are evacuated.");
    }
    Set<String> next = new HashSet<>(evacuatedDomains);
    next.add(failureDomain);
    return accepted(
        withEvacuatedDomains(next), "Failure domain %s is evacuated.".formatted(failureDomain));
  }

  private Transition endEvacuation(String failureDomain) {
    if (!evacuatedDomains.contains(failureDomain)) {
      return unchanged("Failure domain %s is not evacuated.".formatted(failureDomain));
    }
    Set<String> next = new HashSet<>(evacuatedDomains);
    next.remove(failureDomain);
    return accepted(
        withEvacuatedDomains(next),
        "The evacuation of failure domain %s ended.".formatted(failureDomain));
  }

  private View withKeys(Map<String, ApiKey> next) {
    return new View(
        version + 1,
        configurationVersion,
        configuration,
        next,
        databases,
        vms,
        document,
        evacuatedDomains);
  }

  private View withDatabases(Map<String, DatabaseState> next) {
    return new View(
        version + 1,
        configurationVersion,
        configuration,
        keys,
        next,
        vms,
        document,
        evacuatedDomains);
  }

  private View withVms(Map<String, VmRecord> next) {
    return new View(
        version + 1,
        configurationVersion,
        configuration,
        keys,
        databases,
        next,
        document,
        evacuatedDomains);
  }

  private View withEvacuatedDomains(Set<String> next) {
    return new View(
        version + 1, configurationVersion, configuration, keys, databases, vms, document, next);
  }

  private static <T> Map<String, T> copyWithEntry(Map<String, T> base, String name, T value) {
    Map<String, T> next = new HashMap<>(base);
    next.put(name, value);
    return next;
  }

  private Transition accepted(View next, String message) {
    return new Transition(next, ResultCode.OK, message);
  }

  /** Acknowledges a command that has been carried out already, without a new version. */
  private Transition unchanged(String message) {
    return new Transition(this, ResultCode.OK, message);
  }

  private Transition rejected(ResultCode code, String message) {
    return new Transition(this, code, message);
  }
}
