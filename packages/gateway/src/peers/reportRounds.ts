/** Interval of the rounds in which hosts send heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 100;
/** Number of heartbeats per round to hosts of this region and to hosts of other regions. */
const LOCAL_TARGETS_PER_ROUND = 4;
const REMOTE_TARGETS_PER_ROUND = 3;

const roundsFor = (hosts: number, perRound: number): number =>
  Math.max(1, Math.ceil(hosts / perRound));

/** Number of rounds in which a host hears of each of the other hosts of its region once. */
export const localReportRounds = (otherHosts: number): number =>
  roundsFor(otherHosts, LOCAL_TARGETS_PER_ROUND);

/** Number of rounds in which a host hears of each of the hosts of other regions once. */
export const remoteReportRounds = (otherHosts: number): number =>
  roundsFor(otherHosts, REMOTE_TARGETS_PER_ROUND);
