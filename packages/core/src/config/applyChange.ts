import { isDeepStrictEqual } from 'node:util';
import { InvalidChangeError } from '../errors/InvalidChangeError.js';
import type { ConfigChange } from './ConfigChange.js';
import type { ExceptionInput } from './ExceptionInput.js';
import type { FleetDefaults } from './FleetDefaults.js';
import type { StoredFleetDocument } from './FleetDocument.js';
import { fleetDocumentSchema } from './fleetDocumentSchema.js';

/** Entries kept in the history of the document; the oldest are dropped. */
export const MAX_HISTORY_ENTRIES = 100;

type StoredException = StoredFleetDocument['exceptions'][number];
interface Content {
  readonly defaults: FleetDefaults;
  readonly exceptions: readonly StoredException[];
}

function isSameExceptForAuthor(a: ExceptionInput, b: ExceptionInput): boolean {
  return isDeepStrictEqual({ ...a, author: undefined }, { ...b, author: undefined });
}

/** An exception that is unchanged keeps its author; a new or changed one gets the operator's name. */
function withAuthor(
  exception: ExceptionInput,
  previous: readonly StoredException[],
  author: string,
): StoredException {
  const unchanged = previous.find(
    (known) => known.id === exception.id && isSameExceptForAuthor(known, exception),
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

function requireUniqueKeys({ customers }: FleetDefaults): void {
  const ownerByKey = new Map<string, string>();
  Object.entries(customers).forEach(([customer, { keySha256 }]) => {
    const owner = ownerByKey.get(keySha256);
    if (owner !== undefined) {
      throw new InvalidChangeError(`Customers "${owner}" and "${customer}" have the same key.`);
    }
    ownerByKey.set(keySha256, customer);
  });
}

function changeContent(
  base: StoredFleetDocument | undefined,
  { operation, author }: ConfigChange,
): Content {
  switch (operation.kind) {
    case 'set-defaults':
      requireUniqueKeys(operation.defaults);
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
          `There is an exception "${exception.id}" already; remove it first.`,
        );
      }
      return { defaults, exceptions: [...exceptions, { ...exception, author }] };
    }
    case 'remove-exception': {
      const { defaults, exceptions } = requireBase(base);
      const rest = exceptions.filter(({ id }) => id !== operation.exceptionId);
      if (rest.length === exceptions.length) {
        throw new InvalidChangeError(`There is no exception "${operation.exceptionId}".`);
      }
      return { defaults, exceptions: rest };
    }
  }
}

function summaryOf({ operation, reason }: ConfigChange): string {
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
 * The document that results from a change to `base`, one version higher.
 *
 * @throws InvalidChangeError when the change does not fit the document
 */
export function applyChange(
  base: StoredFleetDocument | undefined,
  change: ConfigChange,
  changedAtMs: number,
): StoredFleetDocument {
  const version = (base?.version ?? 0) + 1;
  const { changeId, author } = change;
  const entry = {
    version,
    changeId,
    author,
    summary: summaryOf(change),
    changedAt: new Date(changedAtMs).toISOString(),
  };
  const result = fleetDocumentSchema.safeParse({
    version,
    changeId,
    ...changeContent(base, change),
    history: [...(base?.history ?? []), entry].slice(-MAX_HISTORY_ENTRIES),
  });
  if (!result.success) {
    const problems = result.error.issues.map(
      (issue) => `${issue.path.join('.')}: ${issue.message}`,
    );
    throw new InvalidChangeError(`The changed configuration is not valid: ${problems.join('; ')}`);
  }
  return result.data;
}
