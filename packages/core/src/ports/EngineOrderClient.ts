import type { EngineOrder } from '../engineOrders/EngineOrder.js';
import type { EngineState } from '../engineOrders/EngineState.js';

export interface EngineOrderCall {
  readonly baseUrl: string;
  readonly order: EngineOrder;
  /** Grows with every change of owner; engines that check it refuse an older one. */
  readonly fencingToken: number;
  readonly timeoutMs: number;
  /** Called immediately before the first byte is written; a throw stops the call. */
  readonly onBeforeSend: () => void;
}

/**
 * Orders to engines. Methods reject with `ConnectFailedError`, `AttemptBrokenError`,
 * `ProgressTimeoutError`, or with `FencedOffError` when the engine knows a newer owner.
 */
export interface EngineOrderClient {
  readState(baseUrl: string, timeoutMs: number): Promise<EngineState>;
  send(call: EngineOrderCall): Promise<void>;
  close(): Promise<void>;
}
