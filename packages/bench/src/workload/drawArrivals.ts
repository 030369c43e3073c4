import { createSeededRandom } from '@camphorbarrow/core';
import type { RandomSource } from '@camphorbarrow/core';
import type { Arrival } from './Arrival.js';
import type { RequestClass } from './RequestClass.js';
import type { Workload } from './Workload.js';
import type { WorkloadCase } from './WorkloadCase.js';

const MS_PER_SECOND = 1000;

type Flood = WorkloadCase['floods'][number];

function pickInteger(random: RandomSource, { min, max }: { min: number; max: number }): number {
  return min + Math.floor(random.next() * (max - min + 1));
}

/** Maps a uniform random number below 1 to a customer, so that customers are Zipf-distributed. */
function createCustomerPicker(workload: Workload): (value: number) => number {
  const { count, skew } = workload.customers;
  const cumulative: number[] = [];
  let total = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    total += 1 / rank ** skew;
    cumulative.push(total);
  }
  return (value) => {
    const index = cumulative.findIndex((limit) => value * total < limit);
    return index < 0 ? count - 1 : index;
  };
}

function floodAt(
  floods: readonly Flood[],
  requestClass: RequestClass,
  atMs: number,
): Flood | undefined {
  return floods.find(
    ({ className, fromMs, toMs }) =>
      className === requestClass.name && atMs >= fromMs && atMs < toMs,
  );
}

/** Draws all requests of a run as a Poisson process per class and region. */
export function drawArrivals(
  workload: Workload,
  { floods }: WorkloadCase,
  seed: number,
): readonly Arrival[] {
  const random = createSeededRandom(seed);
  const pickCustomer = createCustomerPicker(workload);
  const totalShare = workload.regions.reduce((sum, { share }) => sum + share, 0);
  const drawn: Omit<Arrival, 'index'>[] = [];

  function drawOne(requestClass: RequestClass, regionIndex: number, atMs: number): void {
    const flood = floodAt(floods, requestClass, atMs);
    const fromFlood = flood !== undefined && random.next() > 1 / flood.factor;
    const customer =
      fromFlood && flood.customers !== undefined
        ? Math.floor(random.next() * flood.customers)
        : pickCustomer(random.next());
    const inference = requestClass.kind === 'inference';
    drawn.push({
      atMs,
      requestClass,
      regionIndex,
      hostIndex: Math.floor(random.next() * (workload.regions[regionIndex]?.entryHosts ?? 1)),
      customer,
      bound: random.next() < workload.customers.boundRatio,
      ownPromptTokens: inference ? pickInteger(random, requestClass.ownPromptTokens) : 0,
      outputTokens: inference ? pickInteger(random, requestClass.outputTokens) : 0,
    });
  }

  workload.classes.forEach((requestClass) => {
    workload.regions.forEach((region, regionIndex) => {
      const basePerMs =
        (requestClass.requestsPerSecond * region.share) / totalShare / MS_PER_SECOND;
      const floodFactor = Math.max(
        1,
        ...floods.filter(({ className }) => className === requestClass.name).map((f) => f.factor),
      );
      const maxPerMs = basePerMs * workload.peak.factor * floodFactor;
      // Thinning: candidates are drawn at the maximum rate, and each is kept with the probability
      // that yields the current rate.
      let atMs = 0;
      while (maxPerMs > 0) {
        atMs += -Math.log(1 - random.next()) / maxPerMs;
        if (atMs >= workload.durationMs) {
          break;
        }
        const distance = (atMs - region.peakAtMs) / workload.peak.widthMs;
        const peak = 1 + (workload.peak.factor - 1) * Math.exp((-distance * distance) / 2);
        const flood = floodAt(floods, requestClass, atMs)?.factor ?? 1;
        if (random.next() * maxPerMs < basePerMs * peak * flood) {
          drawOne(requestClass, regionIndex, atMs);
        }
      }
    });
  });
  drawn.sort((left, right) => left.atMs - right.atMs);
  return drawn.map((arrival, index) => ({ ...arrival, index }));
}
