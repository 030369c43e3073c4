import { readFile } from 'node:fs/promises';
import { CommandInputError } from './CommandInputError.js';

/**
 * Reads a file named on the command line.
 *
 * @throws CommandInputError when the file cannot be read
 */
export async function readInputFile(fileName: string): Promise<string> {
  try {
    return await readFile(fileName, 'utf8');
  } catch (cause) {
    const code = cause instanceof Error && 'code' in cause ? String(cause.code) : 'error';
    throw new CommandInputError(`${fileName}: cannot be read (${code})`);
  }
}
