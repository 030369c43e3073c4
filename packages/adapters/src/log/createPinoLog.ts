import { pino } from 'pino';
import type { DestinationStream } from 'pino';
import type { LogSink } from '@camphorbarrow/core';

export interface PinoLogOptions {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Fields in every line, such as the host id. */
  readonly base: Readonly<Record<string, string>>;
  /** Destination of the lines. @default standard output */
  readonly destination?: DestinationStream;
}

/** Creates a log that writes JSON lines. */
export function createPinoLog(options: PinoLogOptions): LogSink {
  const logger = pino(
    { level: options.level, base: options.base, timestamp: pino.stdTimeFunctions.isoTime },
    options.destination ?? pino.destination({ dest: 1, sync: true }),
  );
  return {
    info: (event, fields) => logger.info({ event, ...fields }),
    warn: (event, fields) => logger.warn({ event, ...fields }),
    error: (event, fields, cause) => logger.error({ event, ...fields, err: cause }),
  };
}
