import { initTRPC } from '@trpc/server';
import { fleetDocumentSchema } from '@camphorbarrow/core';
import type { PeerApi } from './PeerApi.js';
import { heartbeatSchema } from './heartbeatSchema.js';

const trpc = initTRPC.context<{ api: PeerApi }>().create();

/** Procedures between entry hosts (docs/peers.md). */
export const peerRouter = trpc.router({
  heartbeat: trpc.procedure
    .input(heartbeatSchema)
    .mutation(({ ctx, input }) => ctx.api.receiveHeartbeat(input)),
  fetchConfig: trpc.procedure.query(({ ctx }) => ctx.api.currentConfig() ?? null),
  pushConfig: trpc.procedure
    .input(fleetDocumentSchema)
    .mutation(({ ctx, input }) => ctx.api.adoptConfig(input)),
});

export type PeerRouter = typeof peerRouter;
