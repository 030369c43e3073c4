import type {
  Clock,
  CustomerId,
  HostId,
  LogSink,
  MetricsSink,
  RegionId,
} from '@camphorbarrow/core';
import type { AllowanceBounds } from '../lifecycle/EntryHostOptions.js';
import type { Customer } from '../model/Customer.js';
import { pickByRendezvous } from '../routing/rankByRendezvous.js';
import { MAX_ROWS } from './allowanceMessages.js';
import type { LoanMessage, TokenGrant, TokenRequest } from './allowanceMessages.js';
import type { LimitedCustomer } from './allowanceSlots.js';
import type { AllowanceMessenger } from './createAllowanceMessenger.js';
import { createAllowanceOwner } from './createAllowanceOwner.js';
import type { AllowanceOwner } from './createAllowanceOwner.js';
import type { OwnerCandidates } from './createOwnerCandidates.js';
import { slotKey } from './createOwnerSelection.js';

/** Interval at which an owner applies changes and drops hosts that are late. */
const UPDATE_INTERVAL_MS = 400;
/** Interval at which an owner borrows; longer than a round trip between regions. */
const LOAN_INTERVAL_MS = 200;
/** Regions that an owner asks for tokens together. */
const MAX_LENDING_REGIONS = 3;
/** Shortest interval between notices, when customers use up their tokens in turn. */
const NOTICE_INTERVAL_MS = 400;
/** Hosts that ask within this time need no notice. */
const MIN_NOTICE_LEAD_MS = 200;

export interface OwnedSlotsOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly ownId: HostId;
  readonly ownRegion: RegionId;
  /** Random id of this process. */
  readonly ownIncarnation: string;
  readonly candidates: Pick<OwnerCandidates, 'in' | 'regions'>;
  readonly messenger: Pick<AllowanceMessenger, 'send' | 'createQuestionHead'>;
  readonly bounds: () => AllowanceBounds | undefined;
  readonly customersOf: (slot: number) => readonly LimitedCustomer[];
  readonly findCustomer: (id: CustomerId) => Customer | undefined;
  readonly random: () => number;
  /** Tells this host which customers of a slot that it owns run short. */
  readonly noticeOwn: (slot: number, short: readonly CustomerId[] | undefined) => void;
}

/** Slots of which this host is the owner for hosts of its region. */
export interface OwnedSlots {
  /** Decides on a request of a host, also of this one. */
  handleRequest(request: TokenRequest): Pick<TokenGrant, 'rows' | 'short'>;
  /** Decides on a request of an owner in another region. */
  lend(message: LoanMessage): LoanMessage['rows'];
  addLoans(message: LoanMessage): void;
  /** Borrows what customers lack, and drops hosts that no longer delegate. */
  update(): void;
  /** Applies a changed configuration. */
  updateCustomers(): void;
}

/** What this host did last for a slot. */
interface OwnedSlot {
  readonly owner: AllowanceOwner;
  borrowedAtMs: number;
  updatedAtMs: number;
  noticedAtMs: number;
}

/** Creates the owner of the slots for which hosts ask this one. */
export function createOwnedSlots(options: OwnedSlotsOptions): OwnedSlots {
  const { clock, metrics, ownId, candidates, messenger, random } = options;
  const slots = new Map<number, OwnedSlot>();

  function slotOf(slot: number): OwnedSlot {
    const known = slots.get(slot);
    if (known !== undefined) {
      return known;
    }
    const created: OwnedSlot = {
      owner: createAllowanceOwner({
        ...options,
        slot,
        customers: () => options.customersOf(slot),
      }),
      borrowedAtMs: -Infinity,
      updatedAtMs: -Infinity,
      noticedAtMs: -Infinity,
    };
    slots.set(slot, created);
    return created;
  }

  function chooseLenders(slot: number): readonly HostId[] {
    const regions = candidates.regions().filter((region) => region !== options.ownRegion);
    const start = Math.floor(random() * regions.length);
    return [...regions.slice(start), ...regions.slice(0, start)]
      .slice(0, MAX_LENDING_REGIONS)
      .flatMap((region) => pickByRendezvous(slotKey(slot), candidates.in(region)) ?? [])
      .map((id) => id as HostId);
  }

  /** Asks owners in other regions for what customers lack here. */
  function borrow(slot: number): void {
    const owned = slotOf(slot);
    const nowMs = clock.monotonicMs();
    if (nowMs - owned.borrowedAtMs < LOAN_INTERVAL_MS) {
      return;
    }
    const missing = owned.owner.missing().slice(0, MAX_ROWS);
    if (missing.length === 0) {
      return;
    }
    owned.borrowedAtMs = nowMs;
    const lenders = chooseLenders(slot);
    lenders.forEach((lender) => {
      const rows = missing.map((row) => ({
        ...row,
        amount: Math.ceil(row.amount / lenders.length),
      }));
      messenger.send({ kind: 'borrow', ...messenger.createQuestionHead(slot), rows }, lender);
    });
  }

  /** Tells hosts that ask rarely of customers that used up their tokens, before they admit more of them. */
  function notice(slot: number): void {
    const owned = slotOf(slot);
    const nowMs = clock.monotonicMs();
    if (nowMs - owned.noticedAtMs < NOTICE_INTERVAL_MS || !owned.owner.takeUsedUp()) {
      return;
    }
    owned.noticedAtMs = nowMs;
    const short = owned.owner.short();
    owned.owner.expectedAfter(MIN_NOTICE_LEAD_MS).forEach((host) => {
      if (host === ownId) {
        options.noticeOwn(slot, short);
        return;
      }
      const head = { from: ownId, incarnation: options.ownIncarnation, sequence: 0, slot };
      messenger.send({ kind: 'short', ...head, short }, host);
    });
  }

  return {
    handleRequest(request) {
      const { owner } = slotOf(request.slot);
      const rows = owner.handleRequest(request);
      notice(request.slot);
      if (request.from !== ownId && rows.some(({ retryMs }) => retryMs > 0)) {
        borrow(request.slot);
      }
      return { rows, short: owner.short() };
    },
    lend({ slot, rows }) {
      return slotOf(slot).owner.lend(rows);
    },
    addLoans: ({ slot, rows }) => slotOf(slot).owner.addLoans(rows),
    update() {
      const nowMs = clock.monotonicMs();
      slots.forEach((owned, slot) => {
        if (nowMs - owned.updatedAtMs >= UPDATE_INTERVAL_MS) {
          owned.updatedAtMs = nowMs;
          owned.owner.update();
          metrics.gauge('allowance_share_ratio', owned.owner.ratio(), { slot: `${slot}` });
        }
        if (owned.owner.ratio() === 0) {
          slots.delete(slot);
          return;
        }
        notice(slot);
        borrow(slot);
      });
    },
    updateCustomers: () => slots.forEach(({ owner }) => owner.update()),
  };
}
