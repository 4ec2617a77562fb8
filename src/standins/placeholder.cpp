// Placeholder until the first source of this folder lands.
