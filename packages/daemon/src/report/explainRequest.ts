export interface Explanation {
  /**
   * Lines of the request, and lines about its destinations from shortly before its end, oldest
   * first.
   */
  readonly lines: readonly string[];
  /** How and why the request ended; undefined when no line names the request. */
  readonly conclusion: string | undefined;
}

/** Lines about a request's destinations are listed from this time before the request's end. */
const CONTEXT_MS = 10_000;

interface LogEntry {
  readonly line: string;
  readonly atMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a line; undefined when it is not a JSON object with a time, but other programs' output. */
function parseEntry(line: string): LogEntry | undefined {
  const start = line.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const atMs = Date.parse(String(fields.time));
    return Number.isNaN(atMs) ? undefined : { line: line.trim(), atMs, fields };
  } catch {
    return undefined;
  }
}

const text = (value: unknown): string => (typeof value === 'string' ? value : '');

/** To whom a request was rejected in favour, by the cause in the log. */
const SHED_FOR: ReadonlyMap<string, string> = new Map([
  ['rank', 'more urgent requests'],
  ['customer', 'customers that had less'],
]);

/** Describes how a host ended the request, from the line that it logged. */
function describeEnd({ fields }: LogEntry): string {
  const host = text(fields.hostId);
  const destination = text(fields.destination);
  const causes = text(fields.causes);
  const status = Number(fields.status);
  const tookMs = `${Number(fields.tookMs)} ms`;
  if (fields.code === 'allowance-exceeded') {
    return (
      `${host} rejected it with ${status}: the allowance of ${text(fields.customer)} had no room for ` +
      `its cost of ${Number(fields.cost)} ${text(fields.unit)}, and would have in ${Math.round(Number(fields.retryAfterMs))} ms.`
    );
  }
  if (fields.code === 'unauthenticated') {
    return `${host} rejected it with ${status}: configuration ${Number(fields.tableVersion)} has no customer with its key.`;
  }
  if (fields.event === 'request-refused') {
    return `${host} rejected it with ${status} (${text(fields.code)}) before choosing a server.`;
  }
  if (status >= 200 && status < 400) {
    return `${host} delivered the response of ${destination} after ${tookMs}.`;
  }
  if (fields.callerLeft === true) {
    const leftMs = Number(fields.callerLeftMs ?? fields.tookMs);
    const whereabouts =
      fields.attempts === 0
        ? 'before the request was sent to a server'
        : `while the request was at ${destination}`;
    return `The caller disconnected from ${host} after ${leftMs} ms, ${whereabouts}.`;
  }
  if (Number(fields.runs) > 0) {
    return `It may have run at ${destination}, but ${host} did not receive the complete response: ${causes}. It could not be retried.`;
  }
  if (causes.endsWith('overloaded')) {
    const { waitMs, estimateMs, finishMs, remainingMs } = fields;
    const shedFor = SHED_FOR.get(text(fields.overloadCause));
    if (shedFor !== undefined) {
      return `${host} rejected it before it ran: servers were full, and room was left to ${shedFor}. Its caller may return after ${Number(fields.retryAfterMs)} ms.`;
    }
    return (
      `${host} rejected it before it ran: ${destination}, the best choice, had a wait of ${waitMs} ms ` +
      `(first event expected after ${estimateMs} ms, end ${finishMs} ms later, deadline after ${remainingMs} ms).`
    );
  }
  // `cold` is in the logs of earlier versions.
  if (/(no-server|rate-limited|cold)$/.test(causes)) {
    return `${host} rejected it before it ran: it knew no server that could accept it (${causes}).`;
  }
  if (causes.endsWith('unreachable')) {
    return `${host} rejected it before it ran: servers were listed, but it reached none of them (${causes}); see server-link-failed and host-cut-off in its log.`;
  }
  if (
    /peer (reaches no server|has used its part of the rates|is short of processor time)$/.test(
      causes,
    )
  ) {
    return `${host} rejected it before it ran: it reached no server itself, nor did the other hosts that it asked take it (${causes}); see host-cut-off in their logs.`;
  }
  if (causes.endsWith('servers-leaving')) {
    return `${host} rejected it before it ran: all servers that it could reach were leaving (${causes}); see server-leaving and server-changed in its log.`;
  }
  if (causes.endsWith('rejection-limited')) {
    return `${host} rejected it before it ran: all servers that it could reach bear few rejections, and it had its share of the requests there already (${causes}); see server-rejection-limit-changed in its log.`;
  }
  if (causes.endsWith('servers-paused')) {
    return `${host} rejected it before it ran: all servers that it could reach and that were not leaving had asked it for a pause (${causes}); see server-paused in its log.`;
  }
  if (causes.endsWith('version-gone')) {
    return `${host} rejected it before it ran: no server of the software version that began its stream (${text(fields.requiredVersion)}) was listed any more (${causes}).`;
  }
  if (causes.endsWith('software version of the stream is unknown')) {
    return `${host} rejected it before it ran: it resumes ${text(fields.resumes) || 'no named attempt'}, and no host told which software version began that stream.`;
  }
  if (/prompt part (crashed servers|suspected after server crashes)$/.test(causes)) {
    return `${host} rejected it before it ran: ${causes}; see server-crashed in the logs of all hosts.`;
  }
  return status === 0 || status === 504
    ? `It timed out after ${tookMs} at ${destination}; ${Number(fields.events)} events were forwarded.`
    : `${host} ended it with ${status} after ${tookMs}: ${causes}.`;
}

/**
 * Collects what the logs of several hosts say about one request. Each line of a log is a JSON
 * object, possibly after a prefix of the tool that collected the logs.
 */
export function explainRequest(requestId: string, logs: readonly string[]): Explanation {
  const entries = logs.flatMap((log) => log.split('\n').flatMap((line) => parseEntry(line) ?? []));
  const own = entries.filter(({ fields }) => fields.requestId === requestId);
  const last = Math.max(...own.map(({ atMs }) => atMs));
  const destinations = new Set(own.map(({ fields }) => text(fields.destination)));
  const context = entries.filter(
    ({ fields, atMs }) =>
      typeof fields.serverId === 'string' &&
      destinations.has(fields.serverId) &&
      atMs <= last &&
      atMs >= last - CONTEXT_MS,
  );
  const ordered = [...new Set([...own, ...context])].sort((a, b) => a.atMs - b.atMs);
  // The host that received the request from the caller knows only that another one ended it.
  const relayedEntry = own.find(({ fields }) => text(fields.relayedBy) !== '');
  const callerEntry = own.find(({ fields }) => text(fields.relayedBy) === '');
  const endedElsewhere =
    relayedEntry !== undefined && relayedEntry.fields.hostId === callerEntry?.fields.destination;
  const decisiveEntry = endedElsewhere ? relayedEntry : (callerEntry ?? relayedEntry);
  return {
    lines: ordered.map(({ line }) => line),
    conclusion: decisiveEntry === undefined ? undefined : describeEnd(decisiveEntry),
  };
}
