import type { RegionId } from '../../../src/ids/RegionId.js';
import { asId } from '../../../src/ids/asId.js';
import type { RegionLoadSummary } from '../../../src/routing/spill/RegionLoadSummary.js';
import type { RegionView } from '../../../src/routing/spill/RegionView.js';
import type { LocalEstimate } from '../../../src/routing/spill/SpillPolicy.js';

export const costa = asId<RegionId>('costa');

/** Creates an idle region with one entry host and a round trip of 160 ms. */
export function createRegion(
  changes: Partial<Omit<RegionView, 'load'>> & { load?: Partial<RegionLoadSummary> } = {},
): RegionView {
  const { load, ...view } = changes;
  return {
    regionId: costa,
    loadAgeMs: 500,
    roundTripMs: 160,
    peerUrls: ['http://costa-1'],
    ...view,
    load: { capacity: 16, inUse: 0, firstTokenWaitMs: 0, spilling: false, ...load },
  };
}

/** Creates the estimate of an overloaded own region with the given time to the first token. */
export function createLocal(firstTokenMs: number): LocalEstimate {
  return { firstTokenMs, uncachedPrefillMs: 200, inUse: 32, capacity: 16 };
}
