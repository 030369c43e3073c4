import { isDeepStrictEqual } from 'node:util';
import { InvalidChangeError } from '../errors/InvalidChangeError.js';
import type { ConfigChange } from './ConfigChange.js';
import type { ExceptionInput } from './ExceptionInput.js';
import type { FleetDefaults } from './FleetDefaults.js';
import type { StoredFleetDocument } from './FleetDocument.js';
import { fleetDocumentSchema } from './fleetDocumentSchema.js';

/** Limit of the document's history; the oldest entries are dropped. */
export const MAX_HISTORY_ENTRIES = 100;

type StoredException = StoredFleetDocument['exceptions'][number];
interface DocumentContent {
  readonly defaults: FleetDefaults;
  readonly exceptions: readonly StoredException[];
}

function isSameExceptForAuthor(a: ExceptionInput, b: ExceptionInput): boolean {
  return isDeepStrictEqual({ ...a, author: undefined }, { ...b, author: undefined });
}

/** Keeps the author of an unchanged exception; attributes a new or changed one to the operator. */
function withAuthor(
  exception: ExceptionInput,
  previous: readonly StoredException[],
  author: string,
): StoredException {
  const unchanged = previous.find(
    (candidate) => candidate.id === exception.id && isSameExceptForAuthor(candidate, exception),
  );
  return { ...exception, author: unchanged?.author ?? author };
}

function requireBase(base: StoredFleetDocument | undefined): StoredFleetDocument {
  if (base === undefined) {
    throw new InvalidChangeError(
      'There is no configuration yet; set the fleet defaults first (config set --defaults).',
    );
  }
  return base;
}

function requireUniqueCustomerKeys({ customers }: FleetDefaults): void {
  const ownerByKey = new Map<string, string>();
  Object.entries(customers).forEach(([customer, { keySha256 }]) => {
    const owner = ownerByKey.get(keySha256);
    if (owner !== undefined) {
      throw new InvalidChangeError(`Customers "${owner}" and "${customer}" have the same key.`);
    }
    ownerByKey.set(keySha256, customer);
  });
}

function applyOperation(
  base: StoredFleetDocument | undefined,
  { operation, author }: ConfigChange,
): DocumentContent {
  switch (operation.kind) {
    case 'set-defaults':
      requireUniqueCustomerKeys(operation.defaults);
      return { defaults: operation.defaults, exceptions: base?.exceptions ?? [] };
    case 'set-exceptions': {
      const { defaults, exceptions } = requireBase(base);
      return {
        defaults,
        exceptions: operation.exceptions.map((item) => withAuthor(item, exceptions, author)),
      };
    }
    case 'add-exception': {
      const { defaults, exceptions } = requireBase(base);
      const { exception } = operation;
      if (exceptions.some(({ id }) => id === exception.id)) {
        throw new InvalidChangeError(
          `Exception "${exception.id}" already exists; remove it first.`,
        );
      }
      return { defaults, exceptions: [...exceptions, { ...exception, author }] };
    }
    case 'remove-exception': {
      const { defaults, exceptions } = requireBase(base);
      const remaining = exceptions.filter(({ id }) => id !== operation.exceptionId);
      if (remaining.length === exceptions.length) {
        throw new InvalidChangeError(`Exception "${operation.exceptionId}" does not exist.`);
      }
      return { defaults, exceptions: remaining };
    }
  }
}

function summarize({ operation, reason }: ConfigChange): string {
  switch (operation.kind) {
    case 'set-defaults':
    case 'set-exceptions':
      return `${operation.kind}: ${reason}`;
    case 'add-exception':
      return `${operation.kind} ${operation.exception.id}: ${reason}`;
    case 'remove-exception':
      return `${operation.kind} ${operation.exceptionId}: ${reason}`;
  }
}

/**
 * Applies a change to `base` and returns the resulting document, one version higher.
 *
 * @throws InvalidChangeError when the change cannot be applied to the document
 */
export function applyChange(
  base: StoredFleetDocument | undefined,
  change: ConfigChange,
  changedAtMs: number,
): StoredFleetDocument {
  const version = (base?.version ?? 0) + 1;
  const { changeId, author } = change;
  const historyEntry = {
    version,
    changeId,
    author,
    summary: summarize(change),
    changedAt: new Date(changedAtMs).toISOString(),
  };
  const result = fleetDocumentSchema.safeParse({
    version,
    changeId,
    ...applyOperation(base, change),
    history: [...(base?.history ?? []), historyEntry].slice(-MAX_HISTORY_ENTRIES),
  });
  if (!result.success) {
    const problems = result.error.issues.map(
      (issue) => `${issue.path.join('.')}: ${issue.message}`,
    );
    throw new InvalidChangeError(`The resulting configuration is invalid: ${problems.join('; ')}`);
  }
  return result.data;
}
