import { TRPCClientError, createTRPCClient, httpLink } from '@trpc/client';
import { Agent, fetch } from 'undici';
import { OperatorCallError, withInputTimeout } from '@camphorbarrow/core';
import type { BurnReport, StoredFleetDocument } from '@camphorbarrow/core';
import type { ChangeResponse } from './ChangeResponse.js';
import type { ChangeRequest } from './ChangeRequest.js';
import type { FleetStatus } from './FleetStatus.js';
import { operatorPrefix } from './operatorPrefix.js';
import type { OperatorRouter } from './operatorRouter.js';

export interface OperatorClientOptions {
  /** Base URL of any entry host's peer listener. */
  readonly url: string;
  /** The operator's key. */
  readonly key: string;
  /** Timeout of every call. A change takes up to 20 s while the store does not respond. */
  readonly timeoutMs: number;
}

/** Calls of an operator to an entry host; all reject with `OperatorCallError`. */
export interface OperatorClient {
  show(): Promise<StoredFleetDocument | undefined>;
  status(): Promise<FleetStatus>;
  burnReport(): Promise<BurnReport>;
  propose(change: ChangeRequest): Promise<ChangeResponse>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 3_000;
const NOT_CONNECTED = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const UNAUTHORIZED = 401;

function errorCodesOf(error: unknown): readonly string[] {
  const ownCodes = error instanceof Error && 'code' in error ? [String(error.code)] : [];
  return error instanceof Error && error.cause !== undefined
    ? [...ownCodes, ...errorCodesOf(error.cause)]
    : ownCodes;
}

/**
 * Maps a failed call. The message names the cause's codes instead of attaching the cause, because
 * modern-errors would append the cause's message.
 */
function toCallError(cause: unknown, url: string): Error {
  const response = cause instanceof TRPCClientError ? cause.meta?.response : undefined;
  const { status } = (response ?? {}) as { status?: number };
  const codes = errorCodesOf(cause);
  const notRunProps = { props: { mayHaveRun: false } };
  if (status === UNAUTHORIZED) {
    return new OperatorCallError(`${url} does not accept the operator key.`, notRunProps);
  }
  if (codes.some((code) => NOT_CONNECTED.has(code))) {
    return new OperatorCallError(`${url} cannot be reached (${codes.join(', ')}).`, notRunProps);
  }
  if (status !== undefined && status >= 400 && status < 500) {
    return new OperatorCallError(`${url} rejected the call with status ${status}.`, notRunProps);
  }
  const reason = status === undefined ? codes.join(', ') || 'timeout' : `status ${status}`;
  const message = `The call to ${url} failed (${reason}).`;
  return new OperatorCallError(message, { props: { mayHaveRun: true } });
}

/** Creates a client of the operators' interface of an entry host. */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const agent = new Agent({ connectTimeout: CONNECT_TIMEOUT_MS });
  const client = createTRPCClient<OperatorRouter>({
    links: [
      httpLink({
        url: `${options.url}${operatorPrefix}`,
        headers: { authorization: `Bearer ${options.key}` },
        fetch: (url, init) =>
          fetch(String(url), { ...(init as object), dispatcher: agent }) as never,
      }),
    ],
  });

  async function call<Result>(
    run: (callOptions: { signal: AbortSignal }) => Promise<Result>,
  ): Promise<Result> {
    try {
      return await withInputTimeout(options.timeoutMs, (signal) => run({ signal }));
    } catch (cause) {
      throw toCallError(cause, options.url);
    }
  }

  return {
    async show() {
      return (await call((callOptions) => client.show.query(undefined, callOptions))) ?? undefined;
    },
    status: () =>
      call((callOptions) => client.status.query(undefined, callOptions)) as Promise<FleetStatus>,
    burnReport: () =>
      call((callOptions) => client.burnReport.query(undefined, callOptions)) as Promise<BurnReport>,
    propose: (change) =>
      call((callOptions) => client.propose.mutate(change, callOptions)) as Promise<ChangeResponse>,
    close: () => agent.destroy(),
  };
}
