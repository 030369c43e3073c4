import type { History } from './History.js';
import type { HistoryEvent } from './HistoryEvent.js';

/** Events of one kind, in the order of the history. */
export function eventsOfKind<Kind extends HistoryEvent['kind']>(
  history: History,
  kind: Kind,
): Extract<HistoryEvent, { kind: Kind }>[] {
  return history.filter(
    (event): event is Extract<HistoryEvent, { kind: Kind }> => event.kind === kind,
  );
}
