import { Command } from 'clipanion';
import { OperatorCallError, SettingsError } from '@camphorbarrow/core';
import { exitCodes } from './exitCodes.js';

function exitCodeOf(error: unknown): number {
  return error instanceof SettingsError ? exitCodes.badInput : exitCodes.failure;
}

/** Base of all commands: prints failures as plain messages and maps them to exit codes. */
export abstract class BaseCommand extends Command {
  protected abstract run(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      const isExpected =
        error instanceof OperatorCallError || exitCodeOf(error) === exitCodes.badInput;
      const message = error instanceof Error ? error.message : String(error);
      this.printError(isExpected ? message : `The command failed: ${message}`);
      return exitCodeOf(error);
    }
  }

  protected print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }

  protected printError(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }
}
