export interface EventStream {
  push(data: string): void;
  end(): void;
  fail(error: unknown): void;
  /** Yields the pushed events. `onReturn` runs at the end, also if the reader stops early. */
  read(onReturn: () => void): AsyncGenerator<string, void>;
}

/** Stream of events between a fake server and its reader. */
export function createEventStream(): EventStream {
  const buffer: string[] = [];
  let ended = false;
  let failure: { readonly error: unknown } | undefined;
  let wake: (() => void) | undefined;

  const notify = (): void => {
    wake?.();
    wake = undefined;
  };
  const waitForChange = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });
  return {
    push(data) {
      buffer.push(data);
      notify();
    },
    end() {
      ended = true;
      notify();
    },
    fail(error) {
      failure ??= { error };
      notify();
    },
    async *read(onReturn) {
      try {
        for (;;) {
          const data = buffer.shift();
          if (data !== undefined) {
            yield data;
          } else if (failure !== undefined) {
            throw failure.error;
          } else if (ended) {
            return;
          } else {
            await waitForChange();
          }
        }
      } finally {
        onReturn();
      }
    },
  };
}
