import ModernError from 'modern-errors';

/** One problem in a settings or configuration file. Lines and columns start at 1. */
export interface SettingsProblem {
  readonly path: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
  /** The value found; undefined when it is missing or not to be shown, "hidden" for a secret. */
  readonly value: string | undefined;
  /** Unit of the field, derived from its name. */
  readonly unit: string | undefined;
  /** Values that the field accepts, in words. */
  readonly allowed: string | undefined;
}

/** A settings or configuration file is invalid. */
export const SettingsError = ModernError.subclass('SettingsError', {
  props: { problems: [] as readonly SettingsProblem[] },
});
