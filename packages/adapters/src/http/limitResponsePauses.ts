import type { Dispatcher } from 'undici';
import { ProgressTimeoutError, startInputTimeout } from '@camphorbarrow/core';
import type { InputTimeout } from '@camphorbarrow/core';

export interface ResponsePauseLimits {
  /** Time from the sending of a request to the head of its response. */
  readonly firstByteTimeoutMs: number;
  /** Time without data of the body while it is being read. @default unlimited */
  readonly progressTimeoutMs?: number;
}

const MIN_FINAL_STATUS = 200;

/** Options of a request that disable undici's own timeouts, which end before sockets are read. */
export const NO_UNDICI_TIMEOUTS = { headersTimeout: 0, bodyTimeout: 0 } as const;

/**
 * Aborts a request with a `ProgressTimeoutError` when its response pauses. The time limits end only
 * after the sockets were read, so that a pause of this process does not count as one of the server.
 */
export function limitResponsePauses(
  dispatcher: Dispatcher,
  { firstByteTimeoutMs, progressTimeoutMs }: ResponsePauseLimits,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) => {
    let timeout: InputTimeout | undefined;

    function restart(controller: Dispatcher.DispatchController, durationMs?: number): void {
      timeout?.close();
      timeout =
        durationMs === undefined
          ? undefined
          : startInputTimeout(durationMs, () => {
              if (controller.paused) {
                restart(controller, durationMs);
              } else {
                controller.abort(new ProgressTimeoutError('No response arrived in time.'));
              }
            });
    }

    return dispatch(options, {
      onRequestStart(controller, context) {
        restart(controller, firstByteTimeoutMs);
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart(controller, statusCode, ...rest) {
        if (statusCode >= MIN_FINAL_STATUS) {
          restart(controller, progressTimeoutMs);
        }
        handler.onResponseStart?.(controller, statusCode, ...rest);
      },
      onResponseData(controller, chunk) {
        restart(controller, progressTimeoutMs);
        handler.onResponseData?.(controller, chunk);
      },
      onResponseEnd(...args) {
        timeout?.close();
        handler.onResponseEnd?.(...args);
      },
      onResponseError(...args) {
        timeout?.close();
        handler.onResponseError?.(...args);
      },
    });
  });
}
