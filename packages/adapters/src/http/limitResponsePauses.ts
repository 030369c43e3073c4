import type { Dispatcher } from 'undici';
import { ProgressTimeoutError, startInputTimeout } from '@camphorbarrow/core';
import type { InputTimeout } from '@camphorbarrow/core';

export interface ResponsePauseLimits {
  /** Time from the sending of a request to the head of its response. */
  readonly firstByteTimeoutMs: number;
  /** Asked after that time, and again until it returns true. @default true at once */
  readonly mayTimeOut?: (() => boolean) | undefined;
  /** Time without data of the body while it is being read. @default unlimited */
  readonly progressTimeoutMs?: number;
}

const MIN_FINAL_STATUS = 200;
/** Interval at which `mayTimeOut` is asked again. */
const RECHECK_INTERVAL_MS = 500;

/** Options of a request that disable undici's own timeouts, which end before sockets are read. */
export const NO_UNDICI_TIMEOUTS = { headersTimeout: 0, bodyTimeout: 0 } as const;

/**
 * Aborts a request with a `ProgressTimeoutError` when its response pauses. The time limits end only
 * after the sockets were read, so that a pause of this process does not count as one of the server.
 */
export function limitResponsePauses(
  dispatcher: Dispatcher,
  { firstByteTimeoutMs, mayTimeOut = () => true, progressTimeoutMs }: ResponsePauseLimits,
): Dispatcher {
  return dispatcher.compose((dispatch) => (options, handler) => {
    let timeout: InputTimeout | undefined;

    const abort = (controller: Dispatcher.DispatchController): void =>
      controller.abort(new ProgressTimeoutError('No response arrived in time.'));

    function waitForHead(controller: Dispatcher.DispatchController, durationMs: number): void {
      timeout?.close();
      timeout = startInputTimeout(durationMs, () => {
        if (mayTimeOut()) {
          abort(controller);
        } else {
          waitForHead(controller, RECHECK_INTERVAL_MS);
        }
      });
    }

    function waitForData(controller: Dispatcher.DispatchController): void {
      timeout?.close();
      if (progressTimeoutMs !== undefined) {
        timeout = startInputTimeout(progressTimeoutMs, () => {
          if (controller.paused) {
            waitForData(controller);
          } else {
            abort(controller);
          }
        });
      }
    }

    return dispatch(options, {
      onRequestStart(controller, context) {
        waitForHead(controller, firstByteTimeoutMs);
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart(controller, statusCode, ...rest) {
        if (statusCode >= MIN_FINAL_STATUS) {
          waitForData(controller);
        }
        handler.onResponseStart?.(controller, statusCode, ...rest);
      },
      onResponseData(controller, chunk) {
        waitForData(controller);
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
