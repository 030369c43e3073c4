import { asId } from '@camphorbarrow/core';
import type { CustomerId, HostId } from '@camphorbarrow/core';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { Allowance } from '../model/Customer.js';
import { SLOT_COUNT } from './allowanceSlots.js';

/** First bytes of every message, which tell it from a heartbeat. */
const PREFIX = Buffer.from('{"allowances":1,');
/** Maximum number of customers in a datagram, so that it is rarely fragmented. */
export const MAX_ROWS = 30;
/** Maximum number of customers that an answer names as short. */
export const MAX_SHORT_CUSTOMERS = 60;

/** Interval at which hosts delegate, except in calm; hosts of earlier versions name none. */
export const USUAL_INTERVAL_MS = 400;

type Unit = Allowance['unit'];

/** Fields of every message. */
export interface MessageHead {
  readonly from: HostId;
  /** Random id of the process that sent the question. */
  readonly incarnation: string;
  /** Number of the question in that process; an answer has that of its question. */
  readonly sequence: number;
  /** Part of the customers that the message is about. */
  readonly slot: number;
}

/** Request of a host for tokens from an owner, with the delegation of the host's part of the rate. */
export interface TokenRequest extends MessageHead {
  readonly kind: 'request';
  /** Time for which the host delegates its part of the rate, in ms. */
  readonly delegatedMs: number;
  /** Number of hosts that share the rate, in the sender's view. */
  readonly hostCount: number;
  /** Time after which the host delegates again, in ms. */
  readonly nextMs: number;
  readonly rows: readonly TokenRequestRow[];
}

export interface TokenRequestRow {
  readonly customer: CustomerId;
  readonly unit: Unit;
  /** Tokens for requests that wait. */
  readonly need: number;
  /** Tokens for the first of them; fewer are of no use. */
  readonly least: number;
  /** Tokens that left the owner and were not used. */
  readonly unused: number;
  /** Part of the need for which an owner has already told when there will be room. */
  readonly foretold: number;
  /** Part of the need that requests used on credit. */
  readonly owed: number;
}

/** Answer of an owner. */
export interface TokenGrant extends MessageHead {
  readonly kind: 'grant';
  readonly rows: readonly TokenGrantRow[];
  /** Customers of the slot whose tokens run short; undefined if these are too many to be named. */
  readonly short: readonly CustomerId[] | undefined;
}

export interface TokenGrantRow {
  readonly customer: CustomerId;
  readonly granted: number;
  /** Time until there is room for the rest of the need; 0 if all was granted. */
  readonly retryMs: number;
}

/** Request of an owner for tokens of the owner in another region, and the answer. */
export interface LoanMessage extends MessageHead {
  readonly kind: 'borrow' | 'loan';
  readonly rows: readonly LoanRow[];
}

export interface LoanRow {
  readonly customer: CustomerId;
  readonly unit: Unit;
  readonly amount: number;
}

/** Notice of an owner between two questions of a host. */
export interface ShortNotice extends MessageHead {
  readonly kind: 'short';
  /** Customers of the slot whose tokens run short; undefined if these are too many to be named. */
  readonly short: readonly CustomerId[] | undefined;
}

/** Messages between hosts on the allowances of customers. */
export type AllowanceMessage = TokenRequest | TokenGrant | LoanMessage | ShortNotice;

/** Whether a datagram is a message of this kind and not a heartbeat. */
export const isAllowanceMessage = (datagram: Buffer): boolean =>
  datagram.subarray(0, PREFIX.length).equals(PREFIX);

const toUnitCode = (unit: Unit): string => (unit === 'tokens' ? 't' : 'r');

function toWireRows(message: AllowanceMessage): readonly unknown[] {
  switch (message.kind) {
    case 'request':
      return message.rows.map(({ customer, unit, need, least, unused, foretold, owed }) => [
        customer,
        toUnitCode(unit),
        need,
        least,
        unused,
        foretold,
        owed,
      ]);
    case 'grant':
      return message.rows.map(({ customer, granted, retryMs }) => [customer, granted, retryMs]);
    case 'borrow':
    case 'loan':
      return message.rows.map(({ customer, unit, amount }) => [customer, toUnitCode(unit), amount]);
    case 'short':
      return [];
  }
}

export function encodeAllowanceMessage(message: AllowanceMessage): Buffer {
  const { kind, from, incarnation, sequence, slot } = message;
  const fields = {
    kind,
    from,
    inc: incarnation,
    seq: sequence,
    slot,
    ...(message.kind === 'request'
      ? { ms: message.delegatedMs, hosts: message.hostCount, next: message.nextMs }
      : undefined),
    ...('short' in message ? { short: message.short } : undefined),
    rows: toWireRows(message),
  };
  return Buffer.from(`${PREFIX.toString()}${JSON.stringify(fields).slice(1)}`);
}

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;

const fail = (field: string): never => {
  throw new InvalidMessageError(`The message on allowances has a malformed field ${field}.`);
};

const readAmount = (value: unknown, field: string): number =>
  isAmount(value) ? value : fail(field);

const readText = (value: unknown, field: string): string =>
  typeof value === 'string' && value !== '' ? value : fail(field);

const readUnit = (value: unknown): Unit => {
  if (value === 't') {
    return 'tokens';
  }
  return value === 'r' ? 'requests' : fail('unit');
};

function readRows<T>(value: unknown, readRow: (cells: readonly unknown[]) => T): readonly T[] {
  if (!Array.isArray(value) || value.length > MAX_ROWS) {
    return fail('rows');
  }
  return value.map((cells: unknown) => (Array.isArray(cells) ? readRow(cells) : fail('row')));
}

function readShort(value: unknown): readonly CustomerId[] | undefined {
  if (value === undefined) {
    return undefined;
  }
  if (!Array.isArray(value) || value.length > MAX_SHORT_CUSTOMERS) {
    return fail('short');
  }
  return value.map((id: unknown) => asId(readText(id, 'short')));
}

function parse(datagram: Buffer): Record<string, unknown> {
  try {
    return JSON.parse(datagram.toString()) as Record<string, unknown>;
  } catch (error) {
    throw new InvalidMessageError('The message on allowances is not valid JSON.', { cause: error });
  }
}

/** @throws InvalidMessageError if the datagram has missing or malformed fields */
export function decodeAllowanceMessage(datagram: Buffer): AllowanceMessage {
  const { kind, from, inc, seq, slot, ms, hosts, next, rows, short } = parse(datagram);
  if (!Number.isInteger(slot) || (slot as number) >= SLOT_COUNT) {
    return fail('slot');
  }
  const head: MessageHead = {
    from: asId(readText(from, 'from')),
    incarnation: readText(inc, 'inc'),
    sequence: readAmount(seq, 'seq'),
    slot: readAmount(slot, 'slot'),
  };
  const readCustomer = (value: unknown): CustomerId => asId(readText(value, 'customer'));
  switch (kind) {
    case 'request':
      return {
        ...head,
        kind,
        delegatedMs: readAmount(ms, 'ms'),
        hostCount: readAmount(hosts, 'hosts'),
        nextMs: next === undefined ? USUAL_INTERVAL_MS : readAmount(next, 'next'),
        rows: readRows(rows, ([customer, unit, need, least, unused, foretold = 0, owed = 0]) => ({
          customer: readCustomer(customer),
          unit: readUnit(unit),
          need: readAmount(need, 'need'),
          least: readAmount(least, 'least'),
          unused: readAmount(unused, 'unused'),
          foretold: readAmount(foretold, 'foretold'),
          owed: readAmount(owed, 'owed'),
        })),
      };
    case 'grant':
      return {
        ...head,
        kind,
        rows: readRows(rows, ([customer, granted, retryMs]) => ({
          customer: readCustomer(customer),
          granted: readAmount(granted, 'granted'),
          retryMs: readAmount(retryMs, 'retryMs'),
        })),
        short: readShort(short),
      };
    case 'short':
      return { ...head, kind, short: readShort(short) };
    case 'borrow':
    case 'loan':
      return {
        ...head,
        kind,
        rows: readRows(rows, ([customer, unit, amount]) => ({
          customer: readCustomer(customer),
          unit: readUnit(unit),
          amount: readAmount(amount, 'amount'),
        })),
      };
    default:
      return fail('kind');
  }
}
