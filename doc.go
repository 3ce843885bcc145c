// Package bulrushlug holds the core types and the interfaces that the packages below it implement.
package bulrushlug
