/** Groups events by call; events without a call are omitted. */
export function groupByCall<Event extends { readonly call: string | undefined }>(
  events: readonly Event[],
): ReadonlyMap<string, readonly Event[]> {
  const groups = new Map<string, Event[]>();
  events.forEach((event) => {
    if (event.call !== undefined) {
      groups.set(event.call, [...(groups.get(event.call) ?? []), event]);
    }
  });
  return groups;
}
