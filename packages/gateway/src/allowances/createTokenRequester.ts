import type { Clock, HostId } from '@camphorbarrow/core';
import type { AllowanceBounds } from '../lifecycle/EntryHostOptions.js';
import { tokenLifetimeMs } from './allowanceBudget.js';
import type { TokenGrant, TokenGrantRow, TokenRequest } from './allowanceMessages.js';
import { USUAL_INTERVAL_MS } from './allowanceMessages.js';
import { SLOT_COUNT } from './allowanceSlots.js';
import type { Accounts } from './createAccounts.js';
import type { AllowanceMessenger } from './createAllowanceMessenger.js';
import type { CalmCustomers } from './createCalmCustomers.js';
import { MAX_DELEGATED_MS } from './createDelegatedShare.js';
import { createDelegation } from './createDelegation.js';
import type { FleetShare } from './createFleetShare.js';
import type { OpenQuestion } from './createOpenQuestions.js';
import type { OwnedSlots } from './createOwnedSlots.js';
import type { OwnerSelection } from './createOwnerSelection.js';

/** Interval at which a host asks while the owner has enough tokens for it and little credit is used. */
const CALM_INTERVAL_MS = 900;
/** Shortest interval at which it asks for what was used on credit. */
const DEBT_INTERVAL_MS = 200;
/** Time for which a host asks more often after the owner had too few tokens. */
const SHORTAGE_MS = 1_000;
/** Time without an answer after which an owner is asked again, because datagrams get lost. */
const MIN_REPEAT_AFTER_MS = 90;
const MAX_REPEAT_AFTER_MS = 180;
/** The same in round trips, of which the latest counts; event loops may be late. */
const REPEAT_AFTER_ROUND_TRIPS = 1.5;

export interface TokenRequesterOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  readonly accounts: Accounts;
  readonly fleetShare: Pick<FleetShare, 'takeElapsedMs' | 'hostCount'>;
  readonly selection: OwnerSelection;
  readonly messenger: Pick<AllowanceMessenger, 'send' | 'createQuestionHead'>;
  /** Slots that this host may own itself. */
  readonly ownedSlots: Pick<OwnedSlots, 'handleRequest'>;
  readonly calmCustomers: CalmCustomers;
  readonly bounds: () => AllowanceBounds | undefined;
}

/** Questions of a host to the owners of the slots, and what their answers told. */
export interface TokenRequester {
  /** Asks if requests of the slot wait, unless a question is open. */
  requestIfNeeded(slot: number): void;
  /** Asks also if it is time to delegate this host's part of the rates, or to pay for used credit. */
  update(slot: number): void;
  /** Records that a customer has used up the owner's tokens, so that it needs this host's part sooner. */
  recordShortage(slot: number): void;
  receiveGrant(grant: TokenGrant, question: OpenQuestion): void;
}

/** This host's latest question on a slot. */
interface LatestQuestion {
  /** Undefined if it was answered. */
  openSinceMs: number | undefined;
  sentAtMs: number;
  owner: HostId | undefined;
  /** Time until the latest answer. */
  roundTripMs: number;
  /** Time at which the owner last had too few tokens. */
  lackedAtMs: number;
}

export function createTokenRequester(options: TokenRequesterOptions): TokenRequester {
  const { clock, ownId, accounts, selection, messenger, calmCustomers, bounds } = options;
  const delegation = createDelegation(options.fleetShare);
  const latest = Array.from({ length: SLOT_COUNT }, (): LatestQuestion => ({
    openSinceMs: undefined,
    sentAtMs: -Infinity,
    owner: undefined,
    roundTripMs: 0,
    lackedAtMs: -Infinity,
  }));
  const latestOf = (slot: number): LatestQuestion => latest[slot] as LatestQuestion;

  /** Whether the owner had too few tokens a moment ago, or doesn't answer. */
  const hasShortage = ({ openSinceMs, lackedAtMs }: LatestQuestion): boolean =>
    openSinceMs !== undefined || clock.monotonicMs() - lackedAtMs < SHORTAGE_MS;

  function recordShortage(slot: number): void {
    latestOf(slot).lackedAtMs = clock.monotonicMs();
  }

  function applyGrants(
    rows: readonly TokenGrantRow[],
    { sentAtMs, slot }: OpenQuestion,
    from: HostId,
  ): void {
    // This host owns the slot only because it reaches no better owner.
    const isSubstitute = from === ownId && selection.best(slot) !== ownId;
    if (rows.some(({ retryMs }) => retryMs > 0)) {
      recordShortage(slot);
    }
    rows.forEach(({ customer, granted, retryMs }) => {
      accounts.find(slot, customer)?.applyGrant({
        granted,
        expiresAtMs: sentAtMs + tokenLifetimeMs(bounds()),
        retryMs,
        askedAtMs: sentAtMs,
        share: isSubstitute ? 'host' : 'region',
      });
    });
  }

  /** Asks the slot's owner for what waits, and delegates this host's part of the rates to it. */
  function request(slot: number): void {
    const nowMs = clock.monotonicMs();
    const owner = selection.select(slot);
    const question = latestOf(slot);
    const nextMs = hasShortage(question) ? USUAL_INTERVAL_MS : CALM_INTERVAL_MS;
    // Time that piled up while it was another owner's is lost: that one may hold a full bucket for it.
    const maxDelegatedMs = owner === question.owner ? MAX_DELEGATED_MS : USUAL_INTERVAL_MS;
    const message: TokenRequest = {
      kind: 'request',
      ...messenger.createQuestionHead(slot),
      delegatedMs: delegation.take(slot, maxDelegatedMs),
      hostCount: options.fleetShare.hostCount(),
      nextMs,
      rows: accounts.takeRows(slot),
    };
    question.sentAtMs = nowMs;
    question.owner = owner;
    if (owner === ownId) {
      question.openSinceMs = undefined;
      const { rows, short } = options.ownedSlots.handleRequest(message);
      calmCustomers.record(slot, ownId, nowMs, short);
      applyGrants(rows, { sentAtMs: nowMs, slot }, ownId);
      return;
    }
    question.openSinceMs = nowMs;
    selection.recordRequest(owner);
    messenger.send(message, owner);
  }

  function requestIfNeeded(slot: number): void {
    const { openSinceMs = -Infinity, roundTripMs } = latestOf(slot);
    const repeatAfterMs = Math.min(
      MAX_REPEAT_AFTER_MS,
      Math.max(MIN_REPEAT_AFTER_MS, REPEAT_AFTER_ROUND_TRIPS * roundTripMs),
    );
    if (clock.monotonicMs() - openSinceMs >= repeatAfterMs && accounts.needsTokens(slot)) {
      request(slot);
    }
  }

  /** Time from one question to the next: the more credit is left, the longer. */
  function intervalMs(slot: number): number {
    const longestMs = hasShortage(latestOf(slot)) ? USUAL_INTERVAL_MS : CALM_INTERVAL_MS;
    return Math.max(DEBT_INTERVAL_MS, longestMs * (1 - accounts.usedCreditRatio(slot)));
  }

  return {
    requestIfNeeded,
    update(slot) {
      requestIfNeeded(slot);
      const sinceMs = clock.monotonicMs() - latestOf(slot).sentAtMs;
      if (sinceMs >= DEBT_INTERVAL_MS && sinceMs >= intervalMs(slot)) {
        request(slot);
      }
    },
    recordShortage,
    receiveGrant({ slot, from, short, rows }, question) {
      const latestQuestion = latestOf(slot);
      latestQuestion.openSinceMs = undefined;
      latestQuestion.roundTripMs = clock.monotonicMs() - question.sentAtMs;
      // The tokens of a later answer are void, so that its owner is as good as silent.
      if (clock.monotonicMs() - question.sentAtMs <= tokenLifetimeMs(bounds())) {
        selection.recordAnswer(from);
      }
      calmCustomers.record(slot, from, question.sentAtMs, short);
      applyGrants(rows, question, from);
      requestIfNeeded(slot);
    },
  };
}
