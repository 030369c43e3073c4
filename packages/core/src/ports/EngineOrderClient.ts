import type { EngineOrder } from '../engineOrders/EngineOrder.js';
import type { EngineState } from '../engineOrders/EngineState.js';

/** An order to load or unload a model on one engine. */
export interface EngineOrderCall {
  readonly baseUrl: string;
  readonly order: EngineOrder;
  /** Increases with every change of owner; engines that check it reject an older token. */
  readonly fencingToken: number;
  readonly timeoutMs: number;
  /** Called immediately before the first byte is written; if it throws, nothing is sent. */
  readonly onBeforeSend: () => void;
}

/**
 * Client that sends orders to engines. Methods reject with `ConnectFailedError`,
 * `AttemptBrokenError`, `ProgressTimeoutError`, or with `FencedOffError` when the engine has
 * already received a newer fencing token.
 */
export interface EngineOrderClient {
  readState(baseUrl: string, timeoutMs: number): Promise<EngineState>;
  send(call: EngineOrderCall): Promise<void>;
  close(): Promise<void>;
}
