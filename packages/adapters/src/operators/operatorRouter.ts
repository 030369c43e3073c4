import { initTRPC } from '@trpc/server';
import { ConfigChangeError } from '@camphorbarrow/core';
import type { ChangeResponse } from './ChangeResponse.js';
import type { OperatorApi } from './OperatorApi.js';
import { changeRequestSchema } from './changeRequestSchema.js';

interface OperatorContext {
  readonly api: OperatorApi;
  /** Name of the operator, from the key. */
  readonly operator: string;
}

const trpc = initTRPC.context<OperatorContext>().create({ isDev: false });

/** Procedures for operators (docs/configuration.md). */
export const operatorRouter = trpc.router({
  show: trpc.procedure.query(({ ctx }) => ctx.api.currentConfig() ?? null),
  status: trpc.procedure.query(({ ctx }) => ctx.api.status()),
  burnReport: trpc.procedure.query(({ ctx }) => ctx.api.burnReport()),
  propose: trpc.procedure
    .input(changeRequestSchema)
    .mutation(async ({ ctx, input }): Promise<ChangeResponse> => {
      try {
        return await ctx.api.propose({
          ...input,
          basedOnVersion: input.basedOnVersion,
          author: ctx.operator,
        });
      } catch (cause) {
        if (cause instanceof ConfigChangeError) {
          return { outcome: 'refused', code: cause.code, message: cause.message };
        }
        throw cause;
      }
    }),
});

export type OperatorRouter = typeof operatorRouter;
