# The usual tasks; each is one command of Maven or Java, spelled out in README.md.
.PHONY: build test lint run toy ask clean

CONFIG ?= examples/config.json

build:
	mvn -q -B -DskipTests package

test:
	mvn -B -ntp clean verify

# Compiler lint as errors and the style check, without the tests.
lint:
	mvn -q -B -ntp test-compile checkstyle:check@style

run: build
	java -jar target/beaconturn.jar serve --config $(CONFIG)

# What a router needs round it, in memory: caches, a slow origin and discovery.
toy:
	java examples/ToyBackend.java

ask:
	examples/ask.sh get 00000000000000a1

clean:
	mvn -q -B clean
