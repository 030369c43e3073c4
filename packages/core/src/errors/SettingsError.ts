import ModernError from 'modern-errors';

/** One problem in a settings or configuration file. Lines and columns start at 1. */
export interface SettingsProblem {
  readonly path: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
  /** The value found; undefined when it is missing or unknown, "hidden" for a secret. */
  readonly value: string | undefined;
  /** Unit of the field, from its name. */
  readonly unit: string | undefined;
  /** What the field may hold. */
  readonly allowed: string | undefined;
}

/** A settings or configuration file is not valid. */
export const SettingsError = ModernError.subclass('SettingsError', {
  props: { problems: [] as readonly SettingsProblem[] },
});
