/** Requests that a machine may close without an answer, over the whole run. */
const ALLOWED = 3;

/**
 * Checks the rule LOST: at any time, a machine in touch passes a request from a kept channel on to a
 * sound server and closes that channel without an answer, more than three times.
 */
export function checkLost({ results, arrivals, record }) {
  const arrivalOf = new Map(arrivals.map((arrival) => [arrival.attempt, arrival]));
  const lost = results.filter((result) => {
    const arrival = arrivalOf.get(result.attempt);
    const isSound = arrival !== undefined && arrival.isTrouble !== true;
    const isClosed = result.error === 'closed' || (result.status === 200 && !result.isComplete);
    return isSound && result.isKept && isClosed;
  });
  lost.forEach(({ attempt, host, path, tookMs }) => {
    const { server } = arrivalOf.get(attempt);
    record(
      `lost: request ${attempt} (${path}) was sent to ${host} on a kept channel, reached the sound ` +
        `server ${server}, and its channel was closed after ${tookMs.toFixed(0)} ms without an answer`,
    );
  });
  record(`lost requests at sound servers: ${lost.length}; the rule allows ${ALLOWED}`);
  return lost.length > ALLOWED;
}

/** Writes what clients saw, by path and outcome. */
export function recordOutcomes({ results, record }) {
  const counts = new Map();
  results.forEach(({ path, status, isComplete, error }) => {
    const outcome = error ?? `${status}${isComplete ? '' : ' cut off'}`;
    const key = `${path} ${outcome}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  [...counts].sort().forEach(([key, count]) => record(`answers: ${key}: ${count}`));
}

/** Writes which hosts ended by themselves. */
export function recordOwnEnds({ hosts, record }) {
  hosts.forEach(({ name, ownEnds, output }) => {
    ownEnds.forEach(({ code, signal }) =>
      record(`process ended by itself: ${name}, exit code ${code}, signal ${signal}`),
    );
    const fatal = /FATAL ERROR.*/.exec(output)?.[0];
    if (fatal !== undefined) {
      record(`${name} wrote: ${fatal}`);
    }
  });
}

/** Writes each request: where it was sent, which servers got it, and what its client saw. */
export function recordRequests({ results, arrivals, record }) {
  const serversOf = new Map();
  arrivals.forEach(({ attempt, server }) =>
    serversOf.set(attempt, [...(serversOf.get(attempt) ?? []), server]),
  );
  results.forEach(({ attempt, host, path, isKept, status, isComplete, error, tookMs }) => {
    const channel = isKept ? 'kept channel' : 'new channel';
    const servers = (serversOf.get(attempt) ?? ['no server']).join(', ');
    const outcome = error ?? `${status}${isComplete ? '' : ' cut off'}`;
    record(
      `request ${attempt} ${path} to ${host} (${channel}): at ${servers}, ` +
        `${outcome} after ${tookMs.toFixed(0)} ms`,
    );
  });
}
