import type { IncomingMessage } from 'node:http';

/** Work on a part of a response; a promise if the next part has to wait for it. */
type Step = Promise<void> | undefined;

/**
 * Reads a response chunk by chunk, and no further while a step is pending. Unlike async iteration, a
 * step that is done at once costs no promise and no turn of the microtask queue. A step that throws or
 * rejects destroys the response.
 *
 * @param onEnd called at the end of the response, unless it was destroyed before
 * @returns resolves when the response has ended or was destroyed, and the last step is done; never
 *   rejects
 */
export function readInSteps(
  response: IncomingMessage,
  onChunk: (chunk: Buffer) => Step,
  onEnd: () => Step,
): Promise<void> {
  return new Promise((resolve) => {
    let isPending = false;
    let isOver = false;

    const fail = (): void => {
      response.destroy();
    };

    function runStep(step: () => Step): void {
      let pending: Step;
      try {
        pending = step();
      } catch {
        fail();
      }
      if (pending === undefined) {
        return;
      }
      isPending = true;
      response.pause();
      void pending.catch(fail).then(() => {
        isPending = false;
        if (isOver) {
          resolve();
        } else {
          response.resume();
        }
      });
    }

    function finish(): void {
      isOver = true;
      if (!isPending) {
        resolve();
      }
    }

    // The reason is known to whoever destroyed the response; the close event follows.
    response.on('error', () => undefined);
    if (response.destroyed) {
      finish();
      return;
    }
    response.on('data', (chunk: Buffer) => {
      // The rest of a read is still emitted after the response was destroyed.
      if (!response.destroyed) {
        runStep(() => onChunk(chunk));
      }
    });
    response.on('end', () => {
      runStep(onEnd);
      finish();
    });
    response.on('close', finish);
  });
}
