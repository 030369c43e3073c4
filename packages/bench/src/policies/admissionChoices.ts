import {
  createAdmitAll,
  createFifoAdmission,
  createRankAdmission,
  createSharedDispatchLimit,
} from '@camphorbarrow/core';
import type { AdmissionController } from '@camphorbarrow/core';
import type { PolicyContext } from './PolicyContext.js';

function createRanks(context: PolicyContext, patientLimitRatio: number): AdmissionController {
  return createRankAdmission({
    clock: context.clock,
    servers: context.registry.servers,
    dispatchLimit: createSharedDispatchLimit(context.entryHostCount),
    patientLimitRatio,
  });
}

/** Admission controllers by name; a factory is called once per entry host. */
export const admissionChoices: Readonly<
  Record<string, (context: PolicyContext) => AdmissionController>
> = {
  all: createAdmitAll,
  fifo: ({ clock, entryHostCount }) =>
    createFifoAdmission({ clock, dispatchLimit: createSharedDispatchLimit(entryHostCount) }),
  ranks: (context) => createRanks(context, 1),
  'ranks-90': (context) => createRanks(context, 0.9),
  'ranks-75': (context) => createRanks(context, 0.75),
  'ranks-50': (context) => createRanks(context, 0.5),
};
