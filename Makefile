# The usual tasks; each is one command of Maven or Java, spelled out in README.md.
.PHONY: build test lint run stand-in rehearse ask clean

CONFIG ?= examples/config.json

build:
	mvn -q -B -DskipTests package

test:
	mvn -B -ntp clean verify

# Compiler lint and Error Prone as errors, the format and the style check, without the tests.
lint:
	mvn -q -B -ntp test-compile spotless:check@format checkstyle:check@style

run: build
	java -jar target/beaconturn.jar serve --config $(CONFIG)

# The peers of a router on loopback: cache servers, a slow origin and discovery; they fail on command.
stand-in: build
	java -jar target/beaconturn.jar stand-in examples/try-out.toml

# Runs one rehearsal; SCENARIO names another scenario.
SCENARIO ?= examples/rehearsals/stall.toml
rehearse: build
	java -jar target/beaconturn.jar rehearse $(SCENARIO)

ask:
	examples/ask.sh get 00000000000000a1

clean:
	mvn -q -B clean
