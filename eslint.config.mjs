import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

// Deviations from Airbnb's rules, each with its reason. docs/style.md lists them as well.
const deviations = {
  // Only named exports are used, so that an export has the same name everywhere.
  'import-x/prefer-default-export': 'off',
  // NodeNext resolution requires the extension in relative imports; the compiler checks paths.
  'import-x/extensions': 'off',
  'import-x/no-unresolved': 'off',
  // Async tasks of connections and peers process their steps in order, in loops that await.
  'no-await-in-loop': 'off',
  // `continue` ends an iteration early, as `return` does in a function.
  'no-continue': 'off',
  // The compiler checks that switches are exhaustive and that every path returns.
  'consistent-return': 'off',
  'default-case': 'off',
  // `void` marks a promise that is deliberately not awaited.
  'no-void': ['error', { allowAsStatement: true }],
  // `for...of` is needed for async iteration; the other restrictions of Airbnb still apply.
  'no-restricted-syntax': [
    'error',
    { selector: 'ForInStatement', message: 'Use Object.entries or Object.keys.' },
    { selector: 'LabeledStatement', message: 'Labels are a form of goto.' },
    { selector: 'WithStatement', message: 'with is not allowed in strict mode.' },
    { selector: 'ThrowStatement > Literal', message: 'Throw a typed error.' },
    { selector: 'ThrowStatement > TemplateLiteral', message: 'Throw a typed error.' },
  ],
};

export default [
  { ignores: ['**/node_modules/**', '**/dist/**', 'target/**', 'journal/**', 'docs/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': tseslint.plugin },
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      ...deviations,
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      // The rule does not recognize the error classes of modern-errors; `no-restricted-syntax`
      // above forbids throwing literals.
      '@typescript-eslint/only-throw-error': 'off',
      '@typescript-eslint/prefer-promise-reject-errors': 'off',
      'prefer-promise-reject-errors': 'off',
      // Fastify replies are thenables that must not be awaited.
      '@typescript-eslint/return-await': 'off',
      // Its fixer removes assertions that widen the properties of error classes.
      '@typescript-eslint/no-unnecessary-type-assertion': 'off',
      // Factories close over state objects and modify their properties.
      'no-param-reassign': ['error', { props: false }],
      // Packages declare only their own dependencies; the root declares the development tools.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: { globals: { process: 'readonly' } },
    rules: {
      ...deviations,
      'import-x/no-extraneous-dependencies': 'off',
      // Build scripts run before the packages of the repository can be imported by name.
      'import-x/no-relative-packages': 'off',
    },
  },
];
