import type { RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';

/** Addresses that one answer of the directory holds at the most. */
const MAX_ADDRESSES = 64;

export interface DirectoryQuestion {
  /** Region of the caller. */
  readonly region: RegionId;
  /** Hosts that take callers' connections now, in any region. */
  readonly ready: readonly HostRegistration[];
  readonly ownRegion: RegionId;
}

/**
 * The entry hosts that a caller should use: those of its own region; those of this host's region
 * when there are none; any others as the last resort.
 */
export function chooseDirectoryHosts(question: DirectoryQuestion): readonly HostRegistration[] {
  const inRegion = (region: RegionId): readonly HostRegistration[] =>
    question.ready.filter((host) => host.region === region);
  const choices = [inRegion(question.region), inRegion(question.ownRegion), question.ready];
  return (choices.find((hosts) => hosts.length > 0) ?? []).slice(0, MAX_ADDRESSES);
}
