import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'node_modules/', 'reports/', 'target/', 'journal/'] },
  eslint.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['eslint.config.js'] } },
    },
    rules: {
      eqeqeq: 'error',
      'no-console': 'error',
      complexity: ['error', 15],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    },
  },
  {
    // The monotonic clock stands still while the machine is suspended: see src/clock/machine-clock.ts.
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: [
      'src/clock/machine-clock.ts',
      'src/runtime/elapsed-clock.ts',
      'src/runtime/control-components.ts',
    ],
    rules: {
      'no-restricted-properties': [
        'error',
        { object: 'performance', property: 'now', message: 'Go by MACHINE_CLOCK.' },
        { object: 'process', property: 'hrtime', message: 'Go by MACHINE_CLOCK.' },
      ],
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
  { files: ['eslint.config.js'], ...tseslint.configs.disableTypeChecked },
);
