import type { ClientDirectory, Clock, DirectoryEntry, LogSink } from '@camphorbarrow/core';

export interface PublishDirectoryOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Undefined when the settings name no client directory. */
  readonly directory: ClientDirectory | undefined;
  readonly entry: () => DirectoryEntry;
}

const PUBLISH_INTERVAL_MS = 2_000;

/**
 * Publishes the list of entry hosts repeatedly. The returned function stops this and publishes the
 * list once more, so that it no longer includes a draining host.
 */
export function publishDirectory(options: PublishDirectoryOptions): () => Promise<void> {
  const { clock, log, directory } = options;
  const stopping = new AbortController();

  async function publish(): Promise<void> {
    try {
      await directory?.publish(options.entry());
    } catch (cause) {
      log.warn('directory-unavailable', { error: String(cause) });
    }
  }

  async function publishRepeatedly(): Promise<void> {
    while (!stopping.signal.aborted) {
      await publish();
      await clock.sleep(PUBLISH_INTERVAL_MS, stopping.signal).catch(() => undefined);
    }
  }

  const task = directory === undefined ? Promise.resolve() : publishRepeatedly();
  return async () => {
    stopping.abort();
    await task;
    await publish();
    await directory?.close();
  };
}
