import type { Clock, CustomerId, LogSink, MetricsSink, RandomSource } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { AllowanceBounds } from '../lifecycle/EntryHostOptions.js';
import type { Customer } from '../model/Customer.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import type { SendDatagram } from '../streams/createStreamVersions.js';
import type { Allowances } from './Allowances.js';
import { allowanceBudget, tokenLifetimeMs } from './allowanceBudget.js';
import { decodeAllowanceMessage, isAllowanceMessage } from './allowanceMessages.js';
import type {
  AllowanceMessage,
  LoanMessage,
  TokenGrant,
  TokenRequest,
} from './allowanceMessages.js';
import { isLimited, limitedBySlot, slotOf } from './allowanceSlots.js';
import type { LimitedCustomer } from './allowanceSlots.js';
import { createAccounts } from './createAccounts.js';
import { createAllowanceMessenger } from './createAllowanceMessenger.js';
import { createCalmCustomers } from './createCalmCustomers.js';
import type { HostCredit } from './createCustomerAccount.js';
import { createFleetShare } from './createFleetShare.js';
import { createOwnedSlots } from './createOwnedSlots.js';
import { createOwnerCandidates } from './createOwnerCandidates.js';
import { createOwnerSelection } from './createOwnerSelection.js';
import { createReplayGuard } from './createReplayGuard.js';
import { createTokenRequester } from './createTokenRequester.js';

/** Interval at which `update` has to be called. */
export const ALLOWANCE_UPDATE_INTERVAL_MS = 100;

export interface SharedAllowancesOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly own: Pick<HostRegistration, 'id' | 'region'>;
  /** Random id of this process. */
  readonly ownIncarnation: string;
  readonly view: Pick<FleetView, 'hosts' | 'table'>;
  readonly peers: Pick<PeerRegistry, 'alive' | 'known'>;
  readonly bounds: () => AllowanceBounds | undefined;
  /** Whether this host stops, so that others take over what it owns. */
  readonly isDraining: () => boolean;
  /** Whether this host rejects new requests before its process ends. */
  readonly isClosing: () => boolean;
}

/** Allowances of the customers, in the view of one host. */
export interface SharedAllowances extends Allowances {
  /** Delegates this host's part of the rates, and repeats what was not answered. */
  update(): void;
  /** Handles a datagram from a peer. Returns false if it is no message on allowances. */
  receive(datagram: Buffer): boolean;
  /** Sets how datagrams are sent; none are sent before. */
  useTransport(send: SendDatagram): void;
}

/** Creates the allowances of one host, which shares them with the others by datagrams. */
export function createSharedAllowances(options: SharedAllowancesOptions): SharedAllowances {
  const { clock, log, metrics, own, view, peers, bounds } = options;
  const random = (): number => options.random.next();
  const candidates = createOwnerCandidates({ ...options, ownId: own.id });
  const messenger = createAllowanceMessenger({ ...options, ownId: own.id, candidates });
  const replays = createReplayGuard();
  const calmCustomers = createCalmCustomers(clock);
  let knownCustomers: unknown;
  let bySlot: ReadonlyMap<number, readonly LimitedCustomer[]> = new Map();

  const fleetShare = createFleetShare({
    clock,
    ownId: own.id,
    // A host that has started since the registration of another ended knows it by its heartbeats.
    registeredHosts: () => candidates.present(),
    isClosing: (host) => (host === own.id ? options.isClosing() : candidates.isClosing(host)),
  });
  const selection = createOwnerSelection({
    clock,
    ownId: own.id,
    candidates: () => candidates.in(own.region),
    lastHeardAtMs: (host) =>
      peers.alive().find(({ heartbeat }) => heartbeat.host.id === host)?.lastHeartbeatAtMs,
  });

  const findCustomer = (id: CustomerId): Customer | undefined =>
    view.table()?.customers?.byId.get(id);

  /** Tokens that this host may use ahead of grants: its part of what all hosts together may. */
  function creditOf(slot: number, id: CustomerId): HostCredit {
    const allowance = findCustomer(id)?.allowance;
    if (allowance === undefined || !fleetShare.isSettled()) {
      return { usual: 0, calm: 0, isCalm: false };
    }
    const { hostCredit, calmCredit } = allowanceBudget(allowance, bounds());
    const hostCount = fleetShare.hostCount();
    return {
      usual: hostCredit / hostCount,
      calm: calmCredit / hostCount,
      isCalm: calmCustomers.has(slot, selection.select(slot), id),
    };
  }

  const accounts = createAccounts({
    clock,
    random,
    creditOf,
    hasAllowance: (id) => findCustomer(id)?.allowance !== undefined,
  });
  const ownedSlots = createOwnedSlots({
    ...options,
    ownId: own.id,
    ownRegion: own.region,
    candidates,
    messenger,
    customersOf: (slot) => bySlot.get(slot) ?? [],
    findCustomer,
    random,
    noticeOwn: (slot, short) => calmCustomers.recordShort(slot, own.id, short),
  });
  const requester = createTokenRequester({
    clock,
    ownId: own.id,
    accounts,
    fleetShare,
    selection,
    messenger,
    ownedSlots,
    calmCustomers,
    bounds,
  });

  function updateCustomers(): void {
    const customers = view.table()?.customers;
    if (customers !== knownCustomers) {
      knownCustomers = customers;
      bySlot = limitedBySlot(customers);
      ownedSlots.updateCustomers();
    }
  }

  function updateHosts(): void {
    if (candidates.update()) {
      fleetShare.observe();
      replays.retain(new Set(candidates.known().keys()));
    }
  }

  function answer(message: TokenRequest | LoanMessage): void {
    const { from, incarnation, sequence, slot } = message;
    if (!candidates.known().has(from)) {
      messenger.ignore('unknown-sender');
      return;
    }
    if (!replays.accept(from, incarnation, sequence)) {
      messenger.ignore('replayed');
      return;
    }
    const head = { from: own.id, incarnation, sequence, slot };
    if (message.kind !== 'request') {
      messenger.send({ kind: 'loan', ...head, rows: ownedSlots.lend(message) }, from);
      return;
    }
    // The host that knows of more hosts is right: one that has just started knows of no lost ones.
    const hostCount = Math.max(message.hostCount, fleetShare.hostCount());
    const grants = ownedSlots.handleRequest({ ...message, hostCount });
    messenger.send({ kind: 'grant', ...head, ...grants }, from);
  }

  function receiveAnswer(message: TokenGrant | LoanMessage): void {
    const question = messenger.questions.take(message);
    if (question === undefined) {
      messenger.ignore('replayed');
    } else if (message.kind === 'grant') {
      requester.receiveGrant(message, question);
    } else if (clock.monotonicMs() - question.sentAtMs > tokenLifetimeMs(bounds())) {
      messenger.ignore('late');
    } else {
      ownedSlots.addLoans(message);
    }
  }

  function handle(message: AllowanceMessage): void {
    switch (message.kind) {
      case 'request':
      case 'borrow':
        answer(message);
        break;
      case 'grant':
      case 'loan':
        receiveAnswer(message);
        break;
      case 'short':
        calmCustomers.recordShort(message.slot, message.from, message.short);
        requester.recordShortage(message.slot);
        break;
    }
  }

  return {
    take(customer, cost) {
      if (!isLimited(customer)) {
        return { kind: 'admitted', refund: () => undefined };
      }
      const startMs = clock.monotonicMs();
      const slot = slotOf(customer.id);
      const decision = accounts.of(slot, customer).take(cost);
      if (decision instanceof Promise) {
        requester.requestIfNeeded(slot);
        void decision.then(() => metrics.timingMs('allowance_wait', clock.monotonicMs() - startMs));
      }
      return decision;
    },
    update() {
      accounts.endWaits();
      updateCustomers();
      if (bySlot.size > 0) {
        updateHosts();
        bySlot.forEach((_, slot) => requester.update(slot));
      }
      ownedSlots.update();
      messenger.questions.dropExpired();
      accounts.dropUnused();
    },
    receive(datagram) {
      if (!isAllowanceMessage(datagram)) {
        return false;
      }
      try {
        handle(decodeAllowanceMessage(datagram));
      } catch (error) {
        messenger.ignore('malformed');
        log.info('allowance-message-unreadable', { reason: (error as Error).message });
      }
      return true;
    },
    useTransport: messenger.useTransport,
  };
}
