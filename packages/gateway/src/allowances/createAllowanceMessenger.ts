import type { Clock, HostId, MetricsSink } from '@camphorbarrow/core';
import type { SendDatagram } from '../streams/createStreamVersions.js';
import { encodeAllowanceMessage } from './allowanceMessages.js';
import type { AllowanceMessage, MessageHead } from './allowanceMessages.js';
import { createOpenQuestions } from './createOpenQuestions.js';
import type { OpenQuestions } from './createOpenQuestions.js';
import type { OwnerCandidates } from './createOwnerCandidates.js';

/** Why a message was ignored. */
export type IgnoredReason = 'malformed' | 'replayed' | 'late' | 'unknown-sender';

export interface AllowanceMessengerOptions {
  readonly clock: Clock;
  readonly metrics: MetricsSink;
  readonly ownId: HostId;
  /** Random id of this process. */
  readonly ownIncarnation: string;
  readonly candidates: Pick<OwnerCandidates, 'known'>;
}

/** Messages on allowances that this host sends, and its questions that are still open. */
export interface AllowanceMessenger {
  readonly questions: OpenQuestions;
  /** Head of a new question. */
  createQuestionHead(slot: number): MessageHead;
  /** Sends a message, unless the host is unknown. */
  send(message: AllowanceMessage, to: HostId): void;
  /** Counts a message that has no effect. */
  ignore(reason: IgnoredReason): void;
  /** Sets how datagrams are sent; none are sent before. */
  useTransport(send: SendDatagram): void;
}

export function createAllowanceMessenger(options: AllowanceMessengerOptions): AllowanceMessenger {
  const { metrics, ownId, ownIncarnation, candidates } = options;
  const questions = createOpenQuestions(options);
  let sendDatagram: SendDatagram = async () => undefined;

  return {
    questions,
    createQuestionHead: (slot) => ({
      from: ownId,
      incarnation: ownIncarnation,
      sequence: questions.open(slot),
      slot,
    }),
    send(message, to) {
      const host = candidates.known().get(to);
      if (host !== undefined) {
        metrics.increment('allowance_messages', { kind: message.kind });
        void sendDatagram(encodeAllowanceMessage(message), host.peers);
      }
    },
    ignore: (reason) => metrics.increment('allowance_messages_ignored', { reason }),
    useTransport(send) {
      sendDatagram = send;
    },
  };
}
