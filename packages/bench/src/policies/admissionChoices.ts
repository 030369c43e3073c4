import {
  createAdmitAll,
  createFifoAdmission,
  createRankAdmission,
  createSharedDispatchLimit,
} from '@camphorbarrow/core';
import type { AdmissionController } from '@camphorbarrow/core';
import type { PolicyContext } from './PolicyContext.js';

function createRanks(
  context: PolicyContext,
  options: { readonly patientLimitRatio?: number; readonly marginDeviations?: number } = {},
): AdmissionController {
  return createRankAdmission({
    clock: context.clock,
    servers: context.registry.servers,
    dispatchLimit: createSharedDispatchLimit(context.entryHostCount),
    ...options,
  });
}

/** Admission controllers by name; a factory is called once per entry host. */
export const admissionChoices: Readonly<
  Record<string, (context: PolicyContext) => AdmissionController>
> = {
  all: createAdmitAll,
  fifo: ({ clock, entryHostCount }) =>
    createFifoAdmission({ clock, dispatchLimit: createSharedDispatchLimit(entryHostCount) }),
  ranks: createRanks,
  'ranks-all-places': (context) => createRanks(context, { patientLimitRatio: 1 }),
  'ranks-third': (context) => createRanks(context, { patientLimitRatio: 0.35 }),
  'ranks-no-margin': (context) => createRanks(context, { marginDeviations: 0 }),
};
